;; Hostile: puts values of 4 KiB under new keys without end; ends well once one is turned down, traps if none ever is.
(module
  (import "lb" "store_put" (func $store_put (param i32 i32 i32 i32) (result i32)))
  (memory (export "memory") 1 1)
  (func (export "lb_abi") (result i32) (i32.const 1))
  (func (export "on_request") (local $i i32)
    (loop $next
      (i32.store (i32.const 0) (i32.add (local.get $i) (i32.const 0x20202020)))
      (if (i32.lt_s (call $store_put (i32.const 0) (i32.const 4) (i32.const 1024) (i32.const 4096)) (i32.const 0))
        (then (return)))
      (local.set $i (i32.add (local.get $i) (i32.const 1)))
      (br_if $next (i32.lt_s (local.get $i) (i32.const 90))))
    unreachable))
