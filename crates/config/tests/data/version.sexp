; A version: what the dispatchers share, at the defaults where there are any.
(deployment
  (schedulers 5)
  (halls hall-b hall-a)
  (kinds (only (cores 8) (memory 16)))
  (tracks (web (repeat idempotent) (contract-time 600 ms)))
  (accepts (cores 2) (memory 1.5))
  (placed-when accepted)
  (cold (lasts 14 s) (window 1 s) (offers 12)))
