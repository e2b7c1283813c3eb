;; Hostile: calls itself without end.
(module
  (memory (export "memory") 1)
  (func $r (param i32) (result i32) (i32.add (i32.const 1) (call $r (i32.add (local.get 0) (i32.const 1)))))
  (func (export "lb_abi") (result i32) (i32.const 1))
  (func (export "on_request") (drop (call $r (i32.const 0)))))
