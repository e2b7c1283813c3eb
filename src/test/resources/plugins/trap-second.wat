;; Hostile: traps at every second call.
(module
  (memory (export "memory") 1)
  (global $n (mut i32) (i32.const 0))
  (func (export "lb_abi") (result i32) (i32.const 1))
  (func (export "on_request") (global.set $n (i32.add (global.get $n) (i32.const 1))) (if (i32.and (global.get $n) (i32.const 1)) (then (return))) unreachable))
