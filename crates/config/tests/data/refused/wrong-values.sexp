(deployment
  (listen "127.0.0.1:0") (roster "127.0.0.1:7000") (hall a) (number 1) (schedulers 3) (halls a b)
  (kinds (small (cores 8) (memory 16)))
  (tracks (web (repeat idempotent) (contract-time 600 ms)))
  (accepts (cores 2) (memory 1.5)) (placed-when running)
  (cold (lasts 14 s) (window 1 s) (offers 29))
  (shots 0) (seed -1) (makes-room yes) (ask-list 10 h) (remembered) (floor (every 10 ms))
  (bounds (message 3) (words-a-client 7) (calls 1.5)) (allow "here") (keepers 3 x)
  (accounts (one (share-cores -1)) (two (share-memory 3))) (other-hall-price #t))
