;; Lacks the hook.
(module
  (memory (export "memory") 1)
  (func (export "lb_abi") (result i32) (i32.const 1)))
