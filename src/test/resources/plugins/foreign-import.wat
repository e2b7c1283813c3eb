;; Hostile: asks for a function that the hook does not have.
(module
  (import "lb" "send" (func $send (param i32 i32) (result i32)))
  (memory (export "memory") 1)
  (func (export "lb_abi") (result i32) (i32.const 1))
  (func (export "on_request")))
