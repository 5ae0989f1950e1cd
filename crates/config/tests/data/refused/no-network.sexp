(deployment
  (listen "127.0.0.1:0") (roster "127.0.0.1:7000") (hall a) (number 1) (schedulers 3) (halls a b)
  (kinds (small (cores 8) (memory 16)))
  (tracks (web (repeat idempotent) (contract-time 600 ms)))
  (accepts (cores 2) (memory 1.5)) (placed-when running)
  (cold (lasts 14 s) (window 1 s) (offers 29))
  (allow "10.0.0.0/40"))
