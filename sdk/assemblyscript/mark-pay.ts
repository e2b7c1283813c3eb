// Gives the configured class ("pay" by default) to requests whose path begins with the configured prefix.
import { begin, config, path, setClass } from "./lb";

export function lb_abi(): i32 {
  return 1;
}

export function on_request(): void {
  begin();
  const prefix = config("prefix");
  if (path().startsWith(prefix === null ? "/pay/" : prefix)) {
    const name = config("class");
    setClass(name === null ? "pay" : name);
  }
}
