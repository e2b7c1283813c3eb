;; Hostile: makes every request a search, so that a book might be sent twice.
(module
  (import "lb" "set_class" (func $class (param i32 i32) (result i32)))
  (memory (export "memory") 1)
  (data (i32.const 0) "search")
  (func (export "lb_abi") (result i32) (i32.const 1))
  (func (export "on_request") (drop (call $class (i32.const 0) (i32.const 6)))))
