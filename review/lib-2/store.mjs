/** A stand-in of the platform's store. Each node gets a port of its own, so that faults can concern one node. */
import { createServer } from "node:http";
import { readBody, sendJson } from "./http.mjs";

const PAGE_ITEMS = 500;

/** Keys, revisions, leases and history, shared by all ports. */
export class Store {
    items = new Map();
    leases = new Map();
    history = [];
    revision = 1;
    compacted = 0;
    lastLease = 0;
    watches = new Set();
    ports = [];

    /** Writes a key as the operator or a worker would; `undefined` removes it. */
    put(key, value, lease = 0) {
        this.revision += 1;
        const event = { key, revision: this.revision };
        if (value === undefined) {
            this.items.delete(key);
            event.removed = true;
        }
        else {
            const created = this.items.get(key)?.created ?? this.revision;
            Object.assign(event, { value, created, lease });
            this.items.set(key, event);
        }
        this.history.push(event);
        for (const watch of [...this.watches]) {
            if (key.startsWith(watch.prefix)) {
                watch.settle();
            }
        }
    }

    putText(key, text) {
        this.put(key, text === undefined ? undefined : Buffer.from(text).toString("base64"));
    }

    readText(key) {
        const item = this.items.get(key);
        return item && Buffer.from(item.value, "base64").toString("utf8");
    }

    endLease(id) {
        const lease = this.leases.get(id);
        if (lease !== undefined) {
            clearTimeout(lease.timer);
            this.leases.delete(id);
            for (const item of [...this.items.values()]) {
                if (item.lease === id) {
                    this.put(item.key, undefined);
                }
            }
        }
    }

    renewLease(id) {
        const lease = this.leases.get(id);
        if (lease === undefined) {
            return false;
        }
        clearTimeout(lease.timer);
        lease.timer = setTimeout(() => this.endLease(id), lease.ttl);
        return true;
    }

    transact({ expect = [], writes = [], remove = [] }) {
        const failed = expect.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision);
        if (failed) {
            const items = expect.flatMap(({ key }) => this.items.get(key) ?? []);
            return [412, { items }];
        }
        if (writes.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
            return [404, {}];
        }
        writes.forEach(({ key, value, lease = 0 }) => this.put(key, value, lease));
        remove.forEach(key => this.put(key, undefined));
        return [200, { revision: this.revision }];
    }

    watch(prefix, after, waitMs) {
        const collect = () => this.history.filter(event => event.revision > after && event.key.startsWith(prefix));
        if (after < this.compacted) {
            return Promise.resolve([410, {}]);
        }
        return new Promise(resolve => {
            const watch = {
                prefix,
                settle: () => {
                    clearTimeout(timer);
                    this.watches.delete(watch);
                    resolve([200, { events: collect(), "at-revision": this.revision }]);
                },
            };
            const timer = setTimeout(watch.settle, waitMs);
            if (collect().length > 0) {
                watch.settle();
            }
            else {
                this.watches.add(watch);
            }
        });
    }

    range(prefix, after) {
        const items = [...this.items.values()]
            .filter(({ key }) => key.startsWith(prefix) && key > after)
            .sort((left, right) => left.key < right.key ? -1 : 1);
        return [200, {
            items: items.slice(0, PAGE_ITEMS),
            "has-more": items.length > PAGE_ITEMS,
            "at-revision": this.revision,
        }];
    }

    async answer(method, url, body) {
        const { pathname, searchParams } = new URL(url, "http://store");
        if (method === "GET" && pathname === "/kv-key") {
            const item = this.items.get(searchParams.get("key"));
            return item === undefined ? [404, {}] : [200, { ...item, "at-revision": this.revision }];
        }
        if (method === "GET" && pathname === "/kv-range") {
            return this.range(searchParams.get("prefix") ?? "", searchParams.get("after") ?? "");
        }
        if (method === "GET" && pathname === "/kv-watch") {
            const after = Number(searchParams.get("after"));
            return this.watch(searchParams.get("prefix") ?? "", after, Number(searchParams.get("wait-ms")));
        }
        if (method === "POST" && pathname === "/kv-txn") {
            return this.transact(JSON.parse(body));
        }
        if (method === "POST" && pathname === "/kv-lease") {
            const ttl = Math.max(1_000, JSON.parse(body)["ttl-ms"]);
            this.lastLease += 1;
            const id = this.lastLease;
            this.leases.set(id, { ttl, timer: undefined });
            this.renewLease(id);
            return [200, { lease: id, "ttl-ms": ttl }];
        }
        const id = Number(pathname.split("/").at(-1));
        if (method === "POST" && pathname.startsWith("/kv-keep/")) {
            return this.renewLease(id) ? [200, { "ttl-ms": this.leases.get(id).ttl }] : [404, {}];
        }
        if (method === "DELETE" && pathname.startsWith("/kv-lease-end/")) {
            this.endLease(id);
            return [200, {}];
        }
        return [404, {}];
    }

    /**
     * Opens a port for one node.
     * @returns The port. Its `decide` may be replaced: it is given each call, and returns `serve`, `busy` (503),
     * `silent` (no answer, without effect) or `lost` (carried out, no answer).
     */
    async open() {
        const port = { address: "", decide: () => "serve", server: undefined };
        port.server = createServer(async (request, response) => {
            const body = await readBody(request);
            const call = { method: request.method, url: request.url, body };
            const fate = port.decide(call);
            if (fate === "busy") {
                sendJson(response, 503, {});
                return;
            }
            if (fate === "silent") {
                return;
            }
            const [status, answer] = await this.answer(call.method, call.url, body);
            // A call that was answered too late to be served any more stays unanswered.
            if (fate !== "lost" && port.decide(call) !== "silent") {
                sendJson(response, status, answer);
            }
        });
        await new Promise(resolve => {
            port.server.listen(0, "127.0.0.1", resolve);
        });
        port.address = `127.0.0.1:${port.server.address().port}`;
        this.ports.push(port);
        return port;
    }

    close() {
        for (const { timer } of this.leases.values()) {
            clearTimeout(timer);
        }
        for (const { server } of this.ports) {
            server.close();
            server.closeAllConnections();
        }
    }
}
