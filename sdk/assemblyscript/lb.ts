// What a plug-in may read and wish for, as docs/plugins.md describes it. Texts are UTF-8 on the way to the host.

@external("lb", "get")
declare function host_get(field: i32, name: usize, nameLength: i32, out: usize, capacity: i32): i32;
@external("lb", "set_header")
declare function host_set_header(name: usize, nameLength: i32, value: usize, valueLength: i32): i32;
@external("lb", "remove_header")
declare function host_remove_header(name: usize, nameLength: i32): i32;
@external("lb", "set_class")
declare function host_set_class(name: usize, nameLength: i32): i32;
@external("lb", "refuse")
declare function host_refuse(reason: usize, reasonLength: i32, retryAfterMs: i32): i32;
@external("lb", "store_get")
declare function host_store_get(key: usize, keyLength: i32, out: usize, capacity: i32): i32;
@external("lb", "store_put")
declare function host_store_put(key: usize, keyLength: i32, value: usize, valueLength: i32): i32;
@external("lb", "log")
declare function host_log(line: usize, length: i32): i32;

/** Results below 0 of whatever is wished for. */
export enum Answer { DONE = 0, ABSENT = -1, NOT_GRANTED = -2, MALFORMED = -3, TOO_MUCH = -4 }

/** The longest value that is read; longer ones count as absent. */
const CAPACITY: i32 = 8192;
const buffer = memory.data(8192);

/** To be called first in each on_request: what the request before left in memory is given back. */
export function begin(): void {
  heap.reset();
}

function read(field: i32, name: string): string | null {
  const key = String.UTF8.encode(name);
  const length = host_get(field, changetype<usize>(key), key.byteLength, buffer, CAPACITY);
  return length < 0 || length > CAPACITY ? null : String.UTF8.decodeUnsafe(buffer, length);
}

/** GET or POST. */
export function method(): string {
  const text = read(0, "");
  return text === null ? "" : text;
}

/** The normal form that routes are matched with, without the query. */
export function path(): string {
  const text = read(1, "");
  return text === null ? "" : text;
}

/** A header, fields of one name joined by ", "; null where there is none. */
export function header(name: string): string | null {
  return read(2, name);
}

/** The class of the route that the request would take, or that an earlier plug-in gave. */
export function requestClass(): string {
  const text = read(3, "");
  return text === null ? "" : text;
}

/** A value of the operators' file; null where it has none of that name. */
export function config(name: string): string | null {
  return read(4, name);
}

export function setHeader(name: string, value: string): Answer {
  const key = String.UTF8.encode(name);
  const text = String.UTF8.encode(value);
  return host_set_header(changetype<usize>(key), key.byteLength, changetype<usize>(text), text.byteLength);
}

export function removeHeader(name: string): Answer {
  const key = String.UTF8.encode(name);
  return host_remove_header(changetype<usize>(key), key.byteLength);
}

export function setClass(name: string): Answer {
  const key = String.UTF8.encode(name);
  return host_set_class(changetype<usize>(key), key.byteLength);
}

/** Refuses the request; 0 says nothing of when to come back. */
export function refuse(reason: string, retryAfterMs: i32): Answer {
  const text = String.UTF8.encode(reason);
  return host_refuse(changetype<usize>(text), text.byteLength, retryAfterMs);
}

export function log(line: string): Answer {
  const text = String.UTF8.encode(line);
  return host_log(changetype<usize>(text), text.byteLength);
}

/** What an earlier request put under this key; null where there is nothing. */
export function stored(key: string): string | null {
  const name = String.UTF8.encode(key);
  const length = host_store_get(changetype<usize>(name), name.byteLength, buffer, CAPACITY);
  return length < 0 || length > CAPACITY ? null : String.UTF8.decodeUnsafe(buffer, length);
}

/** Keeps a text for later requests, if this call ends well; an empty one takes the key away. */
export function store(key: string, value: string): Answer {
  const name = String.UTF8.encode(key);
  const text = String.UTF8.encode(value);
  return host_store_put(changetype<usize>(name), name.byteLength, changetype<usize>(text), text.byteLength);
}
