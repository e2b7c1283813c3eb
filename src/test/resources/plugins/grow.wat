;; Hostile: takes memory without end.
(module
  (memory (export "memory") 1)
  (func (export "lb_abi") (result i32) (i32.const 1))
  (func (export "on_request") (loop $l (drop (memory.grow (i32.const 16))) (br_if $l (i32.lt_u (memory.size) (i32.const 60000))) )))
