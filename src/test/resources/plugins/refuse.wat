;; Hostile: refuses every request.
(module
  (import "lb" "refuse" (func $refuse (param i32 i32 i32) (result i32)))
  (memory (export "memory") 1)
  (data (i32.const 0) "not today")
  (func (export "lb_abi") (result i32) (i32.const 1))
  (func (export "on_request") (drop (call $refuse (i32.const 0) (i32.const 9) (i32.const 1500)))))
