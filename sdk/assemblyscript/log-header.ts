// Copies User-Agent into X-Log-Client, which servers write into their logs, with the class in front.
import { begin, header, requestClass, setHeader } from "./lb";

export function lb_abi(): i32 {
  return 1;
}

export function on_request(): void {
  begin();
  const agent = header("User-Agent");
  if (agent !== null) {
    setHeader("X-Log-Client", requestClass() + ": " + agent);
  }
}
