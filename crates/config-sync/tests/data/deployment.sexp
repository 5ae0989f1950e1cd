; A deployment whose versions are weighed against each other; edits.txt says how they differ.
(deployment (listen "127.0.0.1:0") (roster "127.0.0.1:7000") (hall a) (number 1)
  (schedulers 3) (halls a b) (kinds (small (cores 8) (memory 16)) (large (cores 32) (memory 128)))
  (tracks
    (web (repeat idempotent) (contract-time 600 ms) (spread machine) (most 4) (calm 0.8))
    (once (repeat unrepeatable) (contract-time 1 s))
    (pay (repeat deduplicated) (window 30 s) (within cell) (contract-time 2 s)))
  (accounts (one (share-cores 10)) (two))
  (accepts (cores 2) (memory 1.5)) (placed-when running)
  (cold (lasts 14 s) (window 1 s) (offers 29)) ; the figures of a small fleet
  (bounds (in-hand 1000) (offers-a-node 64)))
