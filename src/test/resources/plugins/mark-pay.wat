;; Gives the configured class ('pay' by default) to requests whose path begins with the configured prefix
;; ("/pay/" by default).
(module
  (import "lb" "get" (func $get (param i32 i32 i32 i32 i32) (result i32)))
  (import "lb" "set_class" (func $set_class (param i32 i32) (result i32)))
  (memory (export "memory") 1 1)
  (data (i32.const 0) "prefix")
  (data (i32.const 16) "/pay/")
  (data (i32.const 32) "pay")
  (data (i32.const 48) "class")
  (func (export "lb_abi") (result i32) (i32.const 1))
  (func (export "on_request")
    (local $prefix i32) (local $at i32) (local $i i32) (local $class i32)
    ;; The prefix at 256; where none is configured, the default.
    (local.set $prefix (call $get (i32.const 4) (i32.const 0) (i32.const 6) (i32.const 256) (i32.const 256)))
    (local.set $at (i32.const 256))
    (if (i32.or (i32.lt_s (local.get $prefix) (i32.const 1)) (i32.gt_s (local.get $prefix) (i32.const 256)))
      (then (local.set $prefix (i32.const 5)) (local.set $at (i32.const 16))))
    ;; The path at 1024.
    (if (i32.lt_s (call $get (i32.const 1) (i32.const 0) (i32.const 0) (i32.const 1024) (i32.const 8192))
                  (local.get $prefix))
      (then (return)))
    (block $differs
      (loop $next
        (br_if $differs (i32.ne (i32.load8_u (i32.add (i32.const 1024) (local.get $i)))
                                (i32.load8_u (i32.add (local.get $at) (local.get $i)))))
        (local.set $i (i32.add (local.get $i) (i32.const 1)))
        (br_if $next (i32.lt_s (local.get $i) (local.get $prefix))))
      ;; The class at 512; where none is configured, the default.
      (local.set $class (call $get (i32.const 4) (i32.const 48) (i32.const 5) (i32.const 512) (i32.const 128)))
      (if (i32.and (i32.gt_s (local.get $class) (i32.const 0)) (i32.le_s (local.get $class) (i32.const 128)))
        (then (drop (call $set_class (i32.const 512) (local.get $class))))
        (else (drop (call $set_class (i32.const 32) (i32.const 3))))))))
