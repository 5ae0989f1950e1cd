(load
  (phases (constant (for 2 s) (rate 20)) (burst (asks 30)) (ramp (for 2 s) (from 10) (to 120))
          (constant (for 1 s) (rate 60)))
  (spacing poisson)
  (seed 7)
  (under-way 50)
  (kinds (quote-worker (account ganga-agro) (services 40) (weight 9) (cores 1) (memory 2) (life 15 s) (abandon-time 6 s))
         (lane-reprice (cores 14) (memory 22) (life 30 s) (abandon-time 9 s))))
