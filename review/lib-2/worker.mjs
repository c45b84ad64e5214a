/** A stand-in of a worker that doesn't guard its capacity. Its tasks follow a plan that the case gives. */
import { randomBytes } from "node:crypto";
import { createServer } from "node:http";
import { readBody, sendJson } from "./http.mjs";

const HEARTBEAT_MS = 1_500;
const MAX_ENDS = 500;

/** A worker's id: drawn until it suits, as a case may need one of several kinds. */
function drawId(isSuitable) {
    for (;;) {
        const id = `i-${randomBytes(4).toString("hex")}`;
        if (isSuitable(id)) {
            return id;
        }
    }
}

/** One address; its lives follow one another. */
export class Worker {
    server = undefined;
    address = "";
    life = undefined;
    heartbeat = undefined;
    state = "ready";
    /** May be replaced: is given each call, and returns `serve`, `silent` or `lost`. */
    decide = () => "serve";

    /**
     * @param options - `store`, `record` (called with each event), `behave` (gives `{ms, end}` for a task's run;
     * `ms` is Infinity for a run that lasts), `pool`, `capacity`, `maxHoldMs`, `kind`, `rack`, `isSuitableId`.
     */
    constructor(options) {
        this.options = options;
    }

    async open() {
        this.startLife();
        await this.listen(0);
        this.writeEntry();
    }

    async listen(port) {
        this.server = createServer(async (request, response) => {
            const body = await readBody(request);
            const { life } = this;
            const call = { path: request.url, body, life };
            const fate = this.decide(call);
            if (fate === "silent") {
                return;
            }
            if (request.headers["x-expected-instance"] !== life.id) {
                sendJson(response, 421, {});
                return;
            }
            const [status, answer] = await this.answer(life, request.url, JSON.parse(body));
            if (fate !== "lost" && !life.isOver) {
                sendJson(response, status, answer);
            }
        });
        await new Promise(resolve => {
            this.server.listen(port, "127.0.0.1", resolve);
        });
        this.address = `127.0.0.1:${this.server.address().port}`;
    }

    startLife() {
        const id = drawId(this.options.isSuitableId ?? (() => true));
        const clockOffset = Math.floor(Math.random() * 1e6) - Math.floor(performance.now());
        this.life = {
            id,
            clockOffset,
            fence: 0,
            deadline: 0,
            runs: new Map(),
            over: new Map(),
            ends: [],
            lastEnd: 0,
            waiters: new Set(),
            isOver: false,
            leaseTimer: undefined,
            sequence: 0,
        };
    }

    now(life) {
        return Math.floor(performance.now()) + life.clockOffset;
    }

    /** Registers now and at each heartbeat. */
    writeEntry() {
        clearTimeout(this.heartbeat);
        const { life, address, state, options } = this;
        life.sequence += 1;
        options.store.putText(
            `servers/${life.id}`,
            JSON.stringify({
                backend: options.pool,
                address,
                zone: "zone-a",
                version: "v1",
                slots: 8,
                state,
                "cold-left-ms": 0,
                capacity: options.capacity,
                labels: [options.kind ?? "a", options.rack ?? "r1-1"],
                "clock-ms": this.now(life),
                sequence: life.sequence,
            }),
        );
        this.heartbeat = setTimeout(() => this.writeEntry(), HEARTBEAT_MS);
    }

    /** Ends the worker's process at once; another life begins at its address after some time, unless that is infinite. */
    async crash(downMs) {
        const { life, options } = this;
        clearTimeout(this.heartbeat);
        clearTimeout(life.leaseTimer);
        life.isOver = true;
        options.record("crash", { worker: life.id, runs: [...life.runs.values()].map(({ task, run }) => `${task}#${run}`) });
        for (const run of life.runs.values()) {
            clearTimeout(run.timer);
            options.record("end", { worker: life.id, task: run.task, run: run.run, how: "crashed" });
        }
        life.runs.clear();
        const { port } = this.server.address();
        const closed = new Promise(resolve => {
            this.server.close(resolve);
        });
        this.server.closeAllConnections();
        await closed;
        // The entry of a crashed worker goes after three check-in intervals.
        setTimeout(() => options.store.putText(`servers/${life.id}`, undefined), 3 * HEARTBEAT_MS).unref();
        if (downMs === Infinity) {
            return;
        }
        await new Promise(resolve => {
            setTimeout(resolve, downMs);
        });
        this.startLife();
        await this.listen(port);
        options.record("restart", { worker: this.life.id, address: this.address });
        this.writeEntry();
    }

    async answer(life, path, order) {
        const fence = order["fencing-token"] ?? 0;
        if (fence < life.fence) {
            return this.refuse(life, "fence");
        }
        life.fence = fence;
        switch (path) {
            case "/run-start":
                return this.startRun(life, order);
            case "/run-stop":
                return this.stopRun(life, order);
            case "/hold":
                return this.hold(life, order);
            default:
                return [404, {}];
        }
    }

    refuse(life, reason) {
        return [409, { "clock-ms": this.now(life), reason }];
    }

    startRun(life, order) {
        const { task, run, checkpoint = "" } = order;
        const isThere = life.runs.get(task)?.run === run;
        if (order["deadline-ms"] < this.now(life)) {
            return this.refuse(life, "late");
        }
        if (!isThere && run <= (life.over.get(task) ?? 0)) {
            this.extend(life, order["deadline-ms"]);
            return this.refuse(life, "old");
        }
        this.extend(life, order["deadline-ms"]);
        if (!isThere) {
            const { options } = this;
            const begun = { task, run, spec: order["task-spec"], checkpoint, timer: undefined };
            options.record("start", { worker: life.id, task, run, fence: order["fencing-token"], checkpoint });
            const { ms, end } = options.behave(task, run, this);
            if (ms !== Infinity) {
                begun.timer = setTimeout(() => this.endRun(life, begun, end), ms);
            }
            life.runs.set(task, begun);
        }
        return [200, { "clock-ms": this.now(life) }];
    }

    stopRun(life, { task, run }) {
        life.over.set(task, Math.max(run, life.over.get(task) ?? 0));
        const begun = life.runs.get(task);
        this.options.record("stop", { worker: life.id, task, run });
        if (begun !== undefined && begun.run <= run) {
            setTimeout(() => this.endRun(life, begun, "stopped"), 100);
        }
        return [200, { "clock-ms": this.now(life) }];
    }

    async hold(life, order) {
        const seen = order["last-seen"] ?? 0;
        for (const [number, task, run, how] of life.ends.filter(([number]) => number <= seen)) {
            this.options.record("noted", { worker: life.id, task, run, how, number });
        }
        life.ends = life.ends.filter(([number]) => number > seen);
        if (order["deadline-ms"] !== undefined) {
            this.extend(life, order["deadline-ms"]);
        }
        const waitMs = Math.min(2_000, order["wait-ms"] ?? 0);
        if (waitMs > 0 && life.ends.length === 0) {
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    life.waiters.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, waitMs);
                life.waiters.add(wake);
            });
        }
        const running = [...life.runs.values()].map(({ task, run, checkpoint }) => [task, run, checkpoint, 100, 0]);
        return [200, { "clock-ms": this.now(life), running, ended: life.ends.slice(0, MAX_ENDS) }];
    }

    extend(life, deadline) {
        const longest = this.now(life) + this.options.maxHoldMs;
        life.deadline = Math.max(life.deadline, Math.min(deadline, longest));
        clearTimeout(life.leaseTimer);
        life.leaseTimer = setTimeout(() => {
            const runs = [...life.runs.values()];
            if (runs.length > 0) {
                this.options.record("lapse", { worker: life.id, runs: runs.length });
            }
            runs.forEach(run => this.endRun(life, run, "lapsed"));
        }, Math.max(0, life.deadline - this.now(life)));
    }

    endRun(life, begun, how) {
        if (life.isOver || life.runs.get(begun.task) !== begun) {
            return;
        }
        clearTimeout(begun.timer);
        life.runs.delete(begun.task);
        life.over.set(begun.task, Math.max(begun.run, life.over.get(begun.task) ?? 0));
        life.lastEnd += 1;
        life.ends.push([life.lastEnd, begun.task, begun.run, how, ""]);
        this.options.record("end", { worker: life.id, task: begun.task, run: begun.run, how });
        [...life.waiters].forEach(wake => wake());
    }

    close() {
        clearTimeout(this.heartbeat);
        clearTimeout(this.life.leaseTimer);
        this.life.isOver = true;
        for (const run of this.life.runs.values()) {
            clearTimeout(run.timer);
        }
        this.server?.close();
        this.server?.closeAllConnections();
    }
}
