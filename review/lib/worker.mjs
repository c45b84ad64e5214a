/** Stand-in for one machine with a worker on it, by PROTOCOL.md. It starts whatever it is told to start. */
import { findFreePorts, startJsonServer } from "./http.mjs";

const HEARTBEAT_MS = 1_500;
/** An entry is removed after three check-in intervals of silence. */
const ENTRY_TTL_MS = 3 * HEARTBEAT_MS;
const MAX_REPORTED_ENDS = 500;
const MAX_WAIT_MS = 2_000;

let lastInstance = 0;

/** A machine whose worker can crash and start again. */
export class Machine {
    /** The worker's present life; undefined while it is down. */
    life = undefined;
    /** Whether it answers orders to start with 503, and does nothing. */
    isUnhealthy = false;

    /**
     * @param options - `name`, `backend`, `capacity`, `labels`, `store`, `recorder`, `bounds`, `getWork`, which returns
     * for a task and its run how long it works and how it ends, and `observe`, which is called with each start and end.
     */
    constructor(options) {
        this.options = options;
    }

    async open() {
        this.port ??= (await findFreePorts())[0];
        this.server = await startJsonServer(call => this.handle(call), this.port);
        lastInstance += 1;
        this.life = new Life(this, `i-${this.options.name}-${lastInstance}`, this.server.address);
        this.options.recorder.write(this.life.id, "is up");
    }

    /** The process ends: its channels are reset, nothing that ran goes on, and nothing more is written. */
    crash() {
        const { life } = this;
        this.options.recorder.write(life.id, `crashes; it ran ${life.listTasks().join() || "nothing"}`);
        this.life = undefined;
        this.server.close();
        life.end();
    }

    close() {
        if (this.life !== undefined) {
            this.server.close();
            this.life.end();
        }
        clearTimeout(this.life?.expiry);
    }

    handle({ method, path, headers, body }) {
        const { life } = this;
        if (life === undefined) {
            return undefined;
        }
        if (method === "GET" && path === "/health") {
            return { status: 200, body: {} };
        }
        if (headers["x-expected-instance"] !== undefined && headers["x-expected-instance"] !== life.id) {
            return { status: 421, body: { "clock-ms": life.readClock() } };
        }
        switch (`${method} ${path}`) {
            case "POST /run-start":
                return life.start(body);
            case "POST /run-stop":
                return life.stop(body);
            case "POST /hold":
                return life.hold(body);
            default:
                return { status: 404, body: {} };
        }
    }
}

/** One life of a worker. */
class Life {
    runs = new Map();
    ends = [];
    lastEnd = 0;
    /** Highest run of each task that was stopped or has ended here. */
    closedRuns = new Map();
    fence = 0;
    deadline = 0;
    holds = new Set();
    sequence = 0;
    isOver = false;

    constructor(machine, id, address) {
        Object.assign(this, { machine, id, address, options: machine.options, bornAt: performance.now() });
        this.clockBase = 1_000 + Math.floor(Math.random() * 100_000);
        this.checkIn();
        this.heartbeat = setInterval(() => this.checkIn(), HEARTBEAT_MS);
    }

    readClock() {
        return Math.floor(this.clockBase + performance.now() - this.bornAt);
    }

    listTasks() {
        return [...this.runs.values()].map(({ task, run }) => `${task}#${run}`);
    }

    checkIn() {
        const { store, backend, capacity, labels, zone = "sala-a" } = this.options;
        this.sequence += 1;
        store.put(`servers/${this.id}`, {
            backend,
            address: this.address,
            zone,
            version: "1.0",
            slots: 8,
            state: "ready",
            "cold-left-ms": 0,
            sequence: this.sequence,
            capacity,
            labels,
        });
    }

    end() {
        this.isOver = true;
        clearInterval(this.heartbeat);
        clearTimeout(this.leaseTimer);
        this.runs.forEach(run => {
            clearTimeout(run.timer);
            this.options.observe("lost", this.id, run.task, run.run);
        });
        this.runs.clear();
        this.machine.expiry = setTimeout(() => this.options.store.remove(`servers/${this.id}`), ENTRY_TTL_MS);
        this.machine.expiry.unref();
    }

    refuse(reason) {
        return { status: 409, body: { "clock-ms": this.readClock(), reason } };
    }

    accept(body = {}) {
        return { status: 200, body: { "clock-ms": this.readClock(), ...body } };
    }

    /** Tells whether an order is outdated by its fence, and remembers the highest. */
    isFenced(token = 0) {
        this.fence = Math.max(this.fence, token);
        return token < this.fence;
    }

    extendLease(deadline) {
        if (deadline === undefined) {
            return;
        }
        const longest = this.readClock() + this.options.bounds["max-hold-ms"];
        this.deadline = Math.max(this.deadline, Math.min(deadline, longest));
        clearTimeout(this.leaseTimer);
        this.leaseTimer = setTimeout(() => this.lapse(), Math.max(0, this.deadline - this.readClock() + 1));
    }

    lapse() {
        [...this.runs.values()].forEach(run => this.finish(run, "lapsed"));
    }

    start(body) {
        const { task, run, "task-spec": spec = "", "deadline-ms": deadline, checkpoint = "" } = body;
        const { recorder, getWork, observe } = this.options;
        if (this.machine.isUnhealthy) {
            recorder.write(this.id, `answers 503 to the order to start ${task}#${run}`);
            return { status: 503, body: {} };
        }
        if (this.isFenced(body["fencing-token"])) {
            return this.refuse("fence");
        }
        if (this.runs.get(task)?.run === run) {
            return this.accept();
        }
        if (deadline < this.readClock()) {
            return this.refuse("late");
        }
        this.extendLease(deadline);
        if (run <= (this.closedRuns.get(task) ?? 0) || run < (this.runs.get(task)?.run ?? 0)) {
            return this.refuse("old");
        }
        const { ms, how } = getWork(task, run);
        const started = { task, run, at: performance.now(), ms };
        if (ms !== Infinity) {
            started.timer = setTimeout(() => this.finish(started, how), ms);
        }
        this.runs.set(task, started);
        recorder.write(this.id, `starts ${task}#${run}, task-spec of ${Buffer.byteLength(spec)} bytes`);
        observe("start", this.id, task, run, { spec, checkpoint });
        return this.accept();
    }

    stop({ task, run, "fencing-token": token }) {
        if (this.isFenced(token)) {
            return this.refuse("fence");
        }
        this.closedRuns.set(task, Math.max(run, this.closedRuns.get(task) ?? 0));
        const current = this.runs.get(task);
        if (current !== undefined && current.run <= run) {
            this.finish(current, "stopped");
        }
        return this.accept();
    }

    hold({ "fencing-token": token, "last-seen": lastSeen, "deadline-ms": deadline, "wait-ms": waitMs = 0 }) {
        if (this.isFenced(token)) {
            return this.refuse("fence");
        }
        this.extendLease(deadline);
        this.ends = this.ends.filter(([number]) => number > lastSeen);
        if (this.ends.length > 0 || waitMs === 0) {
            return this.report();
        }
        return new Promise(resolve => {
            const answer = () => {
                clearTimeout(timer);
                this.holds.delete(answer);
                resolve(this.isOver ? undefined : this.report());
            };
            const timer = setTimeout(answer, Math.min(MAX_WAIT_MS, waitMs));
            this.holds.add(answer);
        });
    }

    report() {
        const now = performance.now();
        return this.accept({
            running: [...this.runs.values()].map(({ task, run, at, ms }) => {
                const percent = ms === Infinity ? 100 : Math.min(99, Math.floor((now - at) / ms * 100));
                return [task, run, "", percent, 0];
            }),
            ended: this.ends.slice(0, MAX_REPORTED_ENDS),
        });
    }

    finish(run, how) {
        clearTimeout(run.timer);
        this.runs.delete(run.task);
        this.closedRuns.set(run.task, Math.max(run.run, this.closedRuns.get(run.task) ?? 0));
        this.lastEnd += 1;
        this.ends.push([this.lastEnd, run.task, run.run, how, ""]);
        this.options.recorder.write(this.id, `ends ${run.task}#${run.run}: ${how}`);
        this.options.observe(how, this.id, run.task, run.run);
        [...this.holds].forEach(answer => answer());
    }
}
