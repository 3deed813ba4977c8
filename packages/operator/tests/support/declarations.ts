import { sha256Hex } from '@camphorvane/core';

/** The digest of a test key. */
export const DIGEST = sha256Hex('cvk_test');

/** A small, complete declarations file. */
export const TOML = `
[[teams]]
id = "harbour"
tokens_per_second = 4000
burst_tokens = 20000
key_digests = ["${DIGEST}"]
models = ["lab-8b"]

[[pools]]
model = "lab-8b"
max_tokens = 16384
ttft_target_ms = 730
itl_target_ms = 35
link_pieces_per_second = 400

[[pools.engines]]
id = "p1"
url = "http://127.0.0.1:9101"
zone = "a"
role = "prefill"
memory_pieces = 320
checks_fencing = true

[[pools.engines]]
id = "d1"
url = "http://[::1]:9102"
zone = "b"
role = "decode"
memory_pieces = 320
checks_fencing = false

[[services]]
id = "certificates"
timeout_ms = 5000

[[services.servers]]
id = "c1"
url = "http://127.0.0.1:9201"
zone = "a"
max_concurrent = 8

[[services.routes]]
method = "POST"
path = "/issue"
idempotent = false
class = "certificate"
cost_tokens = 10

[[wait_rules]]
class = "summary"
max_wait_ms = 60000
`;
