;; Hostile: runs for ever.
(module
  (memory (export "memory") 1)
  (func (export "lb_abi") (result i32) (i32.const 1))
  (func (export "on_request") (loop $l (br $l))))
