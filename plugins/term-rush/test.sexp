; The first request comes on 2027-01-15, within the season.
(request (id A) (class hold-copy) (path "/hold-copy/textbook/9") (expect (hold 300ms) (weigh 2) (label "term rush")))
(request (id B) (class hold-copy) (path "/hold-copy/novel/9"))
(request (id C) (class price-check) (path "/price-check/textbook") (expect (hold 300ms) (weigh 2) (label "term rush")))
; 2027-01-26: it is over.
(request (id D) (after 24h) (class hold-copy) (path "/hold-copy/textbook/9") (expect (hold 300ms) (weigh 2) (label "term rush")))
(request (after 24h) (path "/")) (request (after 24h) (path "/")) (request (after 24h) (path "/")) (request (after 24h) (path "/"))
(request (after 24h) (path "/")) (request (after 24h) (path "/")) (request (after 24h) (path "/")) (request (after 24h) (path "/"))
(request (after 24h) (path "/"))
(request (id E) (after 24h) (class hold-copy) (path "/hold-copy/textbook/9"))
