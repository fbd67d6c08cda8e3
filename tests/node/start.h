// How most scenarios begin: discovery names one box.
#pragma once

namespace keelflow::test {

inline constexpr const char* kStart = R"(
  accept disco disco
  expect disco GET /discovery/hosts?follow=1 HTTP
  send disco HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n
  list whole box:ready
  wait lists_received 2
)";

}  // namespace keelflow::test
