(deployment
  (listen "here") (roster "127.0.0.1:7000") (hall c) (number 3) (schedulers 3) (halls a a)
  (kinds (small (cores 0) (memory 16)))
  (tracks (web (repeat idempotent) (window 6 s) (contract-time 600 ms) (kind huge))
    (jobs (repeat deduplicated) (contract-time 2 s) (spread hall))
    (mail (repeat sometimes) (most 3) (contract-time 2)))
  (placed-when soon))
