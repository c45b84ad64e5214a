/** Stand-in for the platform's metadata store, by PROTOCOL.md. It is sound: it loses, delays and refuses nothing. */
import { startJsonServer } from "./http.mjs";

const MAX_PAGE_ITEMS = 500;
const MAX_PAGE_BYTES = 1_048_576;
const MAX_VALUE_BYTES = 1_048_576;
const MAX_KEY_BYTES = 200;
const MAX_ENTRIES = 32;
const MAX_WAIT_MS = 30_000;
const MIN_TTL_MS = 1_000;
const MAX_TTL_MS = 600_000;
const FOREIGN_PREFIXES = ["op/", "servers/"];

/** A store in memory. */
export class Store {
    items = new Map();
    events = [];
    leases = new Map();
    watchers = new Set();
    revision = 100;
    lastLease = 0;

    async open() {
        this.server = await startJsonServer(call => this.handle(call));
        this.address = this.server.address;
    }

    close() {
        this.server.close();
        this.leases.forEach(lease => clearTimeout(lease.timer));
        this.watchers.forEach(watcher => clearTimeout(watcher.timer));
    }

    /** Writes as the operator or a worker does. */
    put(key, value) {
        this.revision += 1;
        this.apply({ key, value: Buffer.from(JSON.stringify(value)).toString("base64"), lease: 0 });
        this.notifyWatchers();
    }

    /** Removes a key as the platform does. */
    remove(key) {
        if (this.items.has(key)) {
            this.revision += 1;
            this.applyRemoval(key);
            this.notifyWatchers();
        }
    }

    /** Reads a value as text; undefined if there is none. */
    readText(key) {
        const item = this.items.get(key);
        return item === undefined ? undefined : Buffer.from(item.value, "base64").toString("utf8");
    }

    handle({ method, path, query, body }) {
        const call = `${method} ${path.replace(/^(\/kv-keep|\/kv-lease-end)\/.*/, "$1")}`;
        const id = Number(path.split("/").at(-1));
        switch (call) {
            case "GET /kv-key":
                return this.readKey(query.get("key") ?? "");
            case "GET /kv-range":
                return this.readRange(query.get("prefix") ?? "", query.get("after") ?? "");
            case "GET /kv-watch":
                return this.watch(query);
            case "POST /kv-txn":
                return this.transact(body);
            case "POST /kv-lease":
                return this.grantLease(body["ttl-ms"]);
            case "POST /kv-keep":
                return this.renewLease(id);
            case "DELETE /kv-lease-end":
                return this.endLease(id);
            default:
                return { status: 404 };
        }
    }

    readKey(key) {
        const item = this.items.get(key);
        return item === undefined ?
            { status: 404 } :
            { status: 200, body: { ...item, "at-revision": this.revision } };
    }

    readRange(prefix, after) {
        const keys = [...this.items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
        const items = [];
        let bytes = 0;
        for (const key of keys) {
            const item = this.items.get(key);
            if (items.length >= MAX_PAGE_ITEMS || items.length > 0 && bytes + item.value.length > MAX_PAGE_BYTES) {
                break;
            }
            items.push(item);
            bytes += item.value.length;
        }
        return {
            status: 200,
            body: { items, "has-more": items.length < keys.length, "at-revision": this.revision },
        };
    }

    watch(query) {
        const prefix = query.get("prefix") ?? "";
        const after = Number(query.get("after"));
        const waitMs = Math.min(MAX_WAIT_MS, Number(query.get("wait-ms")));
        return new Promise(resolve => {
            const watcher = {
                answerIfDue: () => {
                    const events = this.events.filter(event => event.revision > after && event.key.startsWith(prefix));
                    if (events.length > 0) {
                        watcher.finish(events);
                    }
                },
                finish: events => {
                    clearTimeout(watcher.timer);
                    this.watchers.delete(watcher);
                    resolve({ status: 200, body: { events, "at-revision": this.revision } });
                },
            };
            watcher.timer = setTimeout(() => watcher.finish([]), waitMs);
            this.watchers.add(watcher);
            watcher.answerIfDue();
        });
    }

    transact({ expect = [], writes = [], remove = [] }) {
        const keys = [...writes.map(({ key }) => key), ...remove];
        if (keys.some(key => FOREIGN_PREFIXES.some(prefix => key.startsWith(prefix)))) {
            return { status: 403 };
        }
        const isTooLarge = expect.length + writes.length + remove.length > MAX_ENTRIES ||
            keys.some(key => Buffer.byteLength(key) > MAX_KEY_BYTES) ||
            writes.some(({ value }) => Buffer.from(value, "base64").length > MAX_VALUE_BYTES);
        if (isTooLarge) {
            return { status: 400 };
        }
        const isMet = expect.every(({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision);
        if (!isMet) {
            const items = expect.flatMap(({ key }) => this.items.get(key) ?? []);
            return { status: 412, body: { items } };
        }
        if (writes.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
            return { status: 404 };
        }
        this.revision += 1;
        writes.forEach(({ key, value, lease = 0 }) => this.apply({ key, value, lease }));
        remove.forEach(key => this.applyRemoval(key));
        this.notifyWatchers();
        return { status: 200, body: { revision: this.revision } };
    }

    grantLease(ttl) {
        const ttlMs = Math.min(MAX_TTL_MS, Math.max(MIN_TTL_MS, ttl));
        this.lastLease += 1;
        this.leases.set(this.lastLease, { ttlMs, timer: undefined });
        this.startLease(this.lastLease);
        return { status: 200, body: { lease: this.lastLease, "ttl-ms": ttlMs } };
    }

    startLease(id) {
        const lease = this.leases.get(id);
        clearTimeout(lease.timer);
        lease.timer = setTimeout(() => this.endLease(id), lease.ttlMs);
    }

    renewLease(id) {
        if (!this.leases.has(id)) {
            return { status: 404 };
        }
        this.startLease(id);
        return { status: 200, body: {} };
    }

    endLease(id) {
        const lease = this.leases.get(id);
        if (lease === undefined) {
            return { status: 404 };
        }
        clearTimeout(lease.timer);
        this.leases.delete(id);
        const keys = [...this.items.values()].filter(item => item.lease === id).map(({ key }) => key);
        if (keys.length > 0) {
            this.revision += 1;
            keys.forEach(key => this.applyRemoval(key));
            this.notifyWatchers();
        }
        return { status: 200, body: {} };
    }

    apply({ key, value, lease }) {
        const created = this.items.get(key)?.created ?? this.revision;
        const item = { key, value, revision: this.revision, created, lease };
        this.items.set(key, item);
        this.events.push(item);
    }

    applyRemoval(key) {
        if (this.items.delete(key)) {
            this.events.push({ key, revision: this.revision, removed: true });
        }
    }

    notifyWatchers() {
        [...this.watchers].forEach(watcher => watcher.answerIfDue());
    }
}
