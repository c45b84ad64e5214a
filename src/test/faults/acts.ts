/** The acts of random fault runs: work that callers hand in, and faults. Each is plain data, so that runs repeat. */
import fc from "fast-check";
import type { Millis } from "../../common/clock.js";
import type { Callers } from "./callers.js";
import type { Cell } from "./cell.js";

/** One act at an instant. */
export interface Act {
    /** Milliseconds after the act before it. */
    readonly after: Millis;
    readonly kind: ActKind;
    /** Which entry, worker, job or key, by number; taken modulo how many there are. */
    readonly target: number;
    /** A second number, for what the kind makes of it. */
    readonly detail: number;
    /** How long a fault lasts. */
    readonly duration: Millis;
}

/** What an act is done to. */
export interface ActScope {
    readonly cell: Cell;
    readonly callers: Callers;
}

type Handler = (scope: ActScope, act: Act) => void;

/** Half of the jobs run so much longer, past leases and the faults that are under way. */
const LONG_RUN_FACTOR = 5;
const JOB_KINDS = ["batch", "gang", "short"] as const;

/** Work and operators' edits. */
const workHandlers = {
    askRepeatable: ({ cell, callers }, { target, detail }) => {
        void callers.sendRequest(cell.getMember(target), { repeatable: true, serviceMs: detail * 2 });
    },
    askOnce: ({ cell, callers }, { target, detail }) => {
        void callers.sendRequest(cell.getMember(target), { repeatable: false, serviceMs: detail * 2 });
    },
    /** The same key at two entries at once. */
    askByKey: ({ cell, callers }, { target, detail }) => {
        const options = {
            repeatable: detail % 2 === 0,
            key: `key-${target}-${detail % 2}`,
            serviceMs: detail % 300,
        };
        void callers.sendRequest(cell.getMember(target), options);
        void callers.sendRequest(cell.getMember(target + 1), options);
    },
    submit: ({ callers }, { target, detail, duration }) => {
        const kind = JOB_KINDS[target % JOB_KINDS.length] ?? "batch";
        void callers.submit({
            kind,
            tasks: kind === "short" ? 1 : 1 + detail % 4,
            runMs: detail % 2 === 0 ? duration * LONG_RUN_FACTOR : duration,
            repeatable: detail % 3 !== 0,
            urgent: detail % 7 === 0,
        });
    },
    cancel: ({ callers }, { target }) => {
        const job = callers.jobs[target % Math.max(1, callers.jobs.length)];
        if (job?.jobId !== undefined) {
            void callers.cancel(job);
        }
    },
    edit: ({ cell, callers }, { target, detail }) => {
        void callers.edit(cell.getMember(target), 100 + detail);
    },
} satisfies Record<string, Handler>;

/** Faults, each ending by itself. */
const faultHandlers = {
    killEntry: ({ cell }, { target, duration }) => {
        const index = target % cell.countEntries();
        cell.killEntry(index);
        cell.clock.schedule(duration, () => cell.ensureEntry(index));
    },
    pauseEntry: ({ cell }, { target, duration }) => cell.pauseEntry(target, duration),
    leaveEntry: ({ cell }, { target, duration }) => {
        const index = target % cell.countEntries();
        void cell.leaveEntry(index, false);
        cell.clock.schedule(duration, () => cell.ensureEntry(index));
    },
    cutStore: ({ cell }, { target, duration }) => cell.cutStore(cell.getMember(target), duration),
    stopStore: ({ cell }, { duration }) => cell.stopStore(duration),
    slowStore: ({ cell }, { target, detail, duration }) => {
        const { faults } = cell.getMember(target).storePath;
        faults.slowMs = detail * 2;
        cell.clock.schedule(duration, () => {
            faults.slowMs = 0;
        });
    },
    loseStoreAnswers: ({ cell }, { target, duration }) => {
        const { faults } = cell.getMember(target).storePath;
        Object.assign(faults, { dropAnswerShare: 0.4, dropRequestShare: 0.1 });
        cell.clock.schedule(
            duration,
            () => Object.assign(faults, { dropAnswerShare: 0, dropRequestShare: 0 }),
        );
    },
    cutEntry: ({ cell }, { target, duration }) => {
        const { memberId } = cell.getMember(target);
        cell.network.cutMember(memberId);
        cell.clock.schedule(duration, () => cell.network.healMember(memberId));
    },
    splitEntries: ({ cell }, { target, duration }) => cell.splitEntries(1 + target % 2, duration),
    cutWorker: ({ cell }, { target, detail, duration }) =>
        cell.cutWorker(cell.getMember(target), pickWorker(cell, detail), duration),
    cutWorkerFromAll: ({ cell }, { target, duration }) =>
        cell.cutWorkerFromAll(pickWorker(cell, target), duration),
    killWorker: ({ cell }, { target, detail, duration }) =>
        cell.killWorker(pickWorker(cell, target), detail % 4 === 0 ? undefined : duration),
    loseWorkerAnswers: ({ cell }, { target, duration }) =>
        cell.setWorkerFaults(
            cell.getMember(target),
            { dropAnswerShare: 0.3, dropRequestShare: 0.1 },
            duration,
        ),
    delayOrders: ({ cell }, { target, detail, duration }) =>
        cell.setWorkerFaults(
            cell.getMember(target),
            { delayShare: 0.5, delayLimitMs: detail * 10 },
            duration,
        ),
    leaveWorker: ({ cell }, { target, detail }) =>
        cell.leaveWorker(pickWorker(cell, target), detail % 2 === 0 ? detail * 3 : undefined),
    failWorker: ({ cell }, { target, duration }) => {
        const model = cell.getWorkerModel(pickWorker(cell, target));
        model.setFailing(true);
        cell.clock.schedule(duration, () => model.setFailing(false));
    },
} satisfies Record<string, Handler>;

type ActKind = keyof typeof workHandlers | keyof typeof faultHandlers;

const handlers: Record<ActKind, Handler> = { ...workHandlers, ...faultHandlers };

/**
 * Does one act.
 * @param scope - The cell and its callers.
 * @param act - What to do.
 */
export function runAct(scope: ActScope, act: Act): void {
    handlers[act.kind](scope, act);
}

const WORK_KINDS = [
    ...Object.keys(workHandlers) as (keyof typeof workHandlers)[],
    // Jobs are named again: their tasks outlive faults, and most guards are theirs.
    "submit",
    "submit",
] as const;
/** Kinds of faults. */
export const FAULT_KINDS = Object.keys(faultHandlers) as (keyof typeof faultHandlers)[];

const MAX_WORK = 24;
const MAX_FAULTS = 5;

function makeActArbitrary(kinds: readonly ActKind[], afterMs: Millis, longestMs: Millis): fc.Arbitrary<Act> {
    return fc.record({
        after: fc.nat({ max: afterMs }),
        kind: fc.constantFrom(...kinds),
        target: fc.nat({ max: 7 }),
        detail: fc.nat({ max: 999 }),
        duration: fc.integer({ min: 50, max: longestMs }),
    });
}

/** Work and, among it, up to five faults that overlap. */
export const actsArbitrary: fc.Arbitrary<readonly Act[]> = fc
    .tuple(
        fc.array(makeActArbitrary(WORK_KINDS, 700, 3_000), { minLength: 4, maxLength: MAX_WORK }),
        fc.array(makeActArbitrary(FAULT_KINDS, 2_500, 14_000), { minLength: 2, maxLength: MAX_FAULTS }),
    )
    .map(([work, faults]) => mergeByTime(work, faults));

/** Puts two rows of acts into one, each act at the instant that its own row gives it. */
function mergeByTime(left: readonly Act[], right: readonly Act[]): readonly Act[] {
    const timed = [...listTimed(left), ...listTimed(right)].sort((one, other) => one.at - other.at);
    return timed.map(({ at, act }, index) => ({ ...act, after: at - (timed[index - 1]?.at ?? 0) }));
}

function listTimed(acts: readonly Act[]): { readonly at: Millis; readonly act: Act; }[] {
    let at = 0;
    return acts.map(act => {
        at += act.after;
        return { at, act };
    });
}

function pickWorker(cell: Cell, target: number): string {
    const ids = cell.listWorkerIds();
    return ids[target % ids.length] ?? "";
}
