;; Wants more memory from the start than it may have.
(module
  (memory (export "memory") 4000)
  (func (export "lb_abi") (result i32) (i32.const 1))
  (func (export "on_request")))
