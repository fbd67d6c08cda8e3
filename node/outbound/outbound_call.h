// One attempt of a request at one endpoint, from the connection to its end.
#pragma once

#include <optional>

#include "attempt_evidence/attempt_evidence.h"
#include "outbound/outbound.h"
#include "progress/event_stream.h"

namespace keelflow {

class OutboundCall final : ClientConnection::User {
 public:
  OutboundCall(Outbound& owner, AttemptRef ref, EndpointId endpoint, const Destination& to,
               const Job& job, const EndpointPort::Terms& terms);
  ~OutboundCall() override;

  void begin();
  void give_up();
  bool unsent() const { return delivery() < DeliveryState::fully_written; }
  void news(const StatusCallback& news);
  void resume_withheld();
  AttemptRef ref() const { return ref_; }
  const std::string& host() const { return host_; }
  const std::string& id() const { return payload_->id; }

 private:
  enum class State : std::uint8_t { connecting, asked, accepted, streaming, giving_up, ended };

  void on_connected() override;
  void on_flushed() override;
  void on_head(const net::Head& head) override;
  void on_body(std::string_view bytes) override;
  void on_complete(bool reusable) override;
  void on_broken() override;

  void read_evidence();
  attempt_evidence::Conclusion conclusion() const;
  void on_delete_failed();
  void report_release();
  operation_guard::SendVerdict may_send() const;
  void withhold(operation_guard::Reason reason);
  void write_request();
  void write_rest();
  void watch_connection();
  void answered();
  void call_off(AttemptOutcome outcome);
  void hear(const StatusCallback& news, bool certain);
  void read_event(const SseEvent& event);
  void send_delete();
  void end(AttemptOutcome outcome, std::string result = {},
           const scheduler::LoadReport& report = {});
  DeliveryState delivery() const;

  Outbound& owner_;
  AttemptRef ref_;
  EndpointId endpoint_;
  std::string host_;
  net::Address dial_;
  std::shared_ptr<const Payload> payload_;
  bool wants_progress_, once_, counted_ = false, told_ = false, soon_ = false,
                               waits_for_list_ = false;
  bool may_be_running_ = false;   // while it is given up: the endpoint has to be told
  bool may_be_accepted_ = false;  // by the first bytes of a response that could not be read
  std::optional<AttemptOutcome> doubtful_;  // how it may have ended; or an earlier attempt there
  std::string rest_;                        // of the request, held back
  EndpointPort::Terms terms_;
  State state_ = State::connecting;
  DeliveryState reached_ = DeliveryState::never_written;
  std::unique_ptr<ClientConnection> connection_;
  TimerId timer_ = 0;
  int status_ = 0;
  bool never_ran_ = false;
  scheduler::LoadReport report_;
  SseParser events_;
  int deletes_ = 0, most_deletes_ = 0;
};

}  // namespace keelflow
