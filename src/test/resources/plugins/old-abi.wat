;; Speaks a version of the hook that there is not.
(module
  (memory (export "memory") 1)
  (func (export "lb_abi") (result i32) (i32.const 7))
  (func (export "on_request")))
