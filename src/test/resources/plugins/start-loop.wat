;; Hostile: runs for ever in its start function.
(module
  (memory (export "memory") 1)
  (func $s (loop $l (br $l)))
  (start $s)
  (func (export "lb_abi") (result i32) (i32.const 1))
  (func (export "on_request")))
