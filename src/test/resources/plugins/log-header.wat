;; Copies the header User-Agent into X-Log-Client, which servers write into their logs.
(module
  (import "lb" "get" (func $get (param i32 i32 i32 i32 i32) (result i32)))
  (import "lb" "set_header" (func $set_header (param i32 i32 i32 i32) (result i32)))
  (memory (export "memory") 1 1)
  (data (i32.const 0) "user-agent")
  (data (i32.const 16) "X-Log-Client")
  (func (export "lb_abi") (result i32) (i32.const 1))
  (func (export "on_request")
    (local $length i32)
    (local.set $length (call $get (i32.const 2) (i32.const 0) (i32.const 10) (i32.const 256) (i32.const 512)))
    (if (i32.and (i32.gt_s (local.get $length) (i32.const 0)) (i32.le_s (local.get $length) (i32.const 512)))
      (then (drop (call $set_header (i32.const 16) (i32.const 12) (i32.const 256) (local.get $length)))))))
