; A small deployment on one host. Every part is explained in docs/deployment.md.
(deployment
  (listen "127.0.0.1:7100")
  (roster "127.0.0.1:7000")
  (hall hall-a)
  (number 0)
  (schedulers 1)
  (halls hall-a hall-b)
  (kinds
    (compact (cores 36) (memory 64))
    (wide (cores 60) (memory 90)))
  (tracks
    (web (repeat idempotent) (contract-time 600 ms))
    (index (repeat deduplicated) (within hall) (window 6 s) (contract-time 5 s) (calm 0.8) (priority 2)))
  (accepts (cores 2) (memory 1.5))
  (placed-when accepted)
  (cold (lasts 14 s) (window 1 s) (offers 12)))
