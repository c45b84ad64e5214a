/**
 * Actions of random fault runs: submitted work and injected faults. They are plain data, so that runs can be
 * replayed.
 */
import fc from "fast-check";
import type { Millis } from "../../common/clock.js";
import type { Callers } from "./callers.js";
import type { Cell } from "./cell.js";

/** One timed action. */
export interface Action {
    /** Delay after the previous action, in milliseconds. */
    readonly after: Millis;
    readonly kind: ActionKind;
    /** Number of the entry, worker, job or key; taken modulo their count. */
    readonly target: number;
    /** A second parameter, whose meaning depends on the kind. */
    readonly detail: number;
    /** Duration of a fault in milliseconds; for a submitted job, the base of its run time. */
    readonly duration: Millis;
}

/** What an action is applied to. */
export interface ActionScope {
    readonly cell: Cell;
    readonly callers: Callers;
}

type Handler = (scope: ActionScope, action: Action) => void;

/** Half of the jobs run longer by this factor, so that they outlast leases and concurrent faults. */
const LONG_RUN_FACTOR = 5;
const JOB_KINDS = ["batch", "gang", "short"] as const;

/** Submitted work and operators' edits. */
const workHandlers = {
    askRepeatable: ({ cell, callers }, { target, detail }) => {
        void callers.sendRequest(cell.getMember(target), { repeatable: true, serviceMs: detail * 2 });
    },
    askOnce: ({ cell, callers }, { target, detail }) => {
        void callers.sendRequest(cell.getMember(target), { repeatable: false, serviceMs: detail * 2 });
    },
    /** Sends requests with the same idempotency key to two entries at once. */
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

/** Faults; each ends by itself, except that a killed worker may stay down and a leaving one stays leaving. */
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

type ActionKind = keyof typeof workHandlers | keyof typeof faultHandlers;

const handlers: Record<ActionKind, Handler> = { ...workHandlers, ...faultHandlers };

/** Applies one action to a cell. */
export function runAction(scope: ActionScope, action: Action): void {
    handlers[action.kind](scope, action);
}

const WORK_KINDS = [
    ...Object.keys(workHandlers) as (keyof typeof workHandlers)[],
    // Submissions are weighted higher: tasks outlive faults, and most safeguards concern them.
    "submit",
    "submit",
] as const;
/** Kinds of faults. */
export const FAULT_KINDS = Object.keys(faultHandlers) as (keyof typeof faultHandlers)[];

const MAX_WORK = 24;
const MAX_FAULTS = 5;

function makeActionArbitrary(
    kinds: readonly ActionKind[],
    afterMs: Millis,
    longestMs: Millis,
): fc.Arbitrary<Action> {
    return fc.record({
        after: fc.nat({ max: afterMs }),
        kind: fc.constantFrom(...kinds),
        target: fc.nat({ max: 7 }),
        detail: fc.nat({ max: 999 }),
        duration: fc.integer({ min: 50, max: longestMs }),
    });
}

/** A sequence of work with up to {@link MAX_FAULTS} (5) interleaved faults, which may overlap. */
export const actionsArbitrary: fc.Arbitrary<readonly Action[]> = fc
    .tuple(
        fc.array(makeActionArbitrary(WORK_KINDS, 700, 3_000), { minLength: 4, maxLength: MAX_WORK }),
        fc.array(makeActionArbitrary(FAULT_KINDS, 2_500, 14_000), { minLength: 2, maxLength: MAX_FAULTS }),
    )
    .map(([work, faults]) => mergeByTime(work, faults));

/** Merges two sequences of actions; each action keeps the instant that it has in its own sequence. */
function mergeByTime(work: readonly Action[], faults: readonly Action[]): readonly Action[] {
    const timed = [...listTimed(work), ...listTimed(faults)].sort((one, other) => one.at - other.at);
    return timed.map(({ at, action }, index) => ({ ...action, after: at - (timed[index - 1]?.at ?? 0) }));
}

function listTimed(actions: readonly Action[]): { readonly at: Millis; readonly action: Action; }[] {
    let at = 0;
    return actions.map(action => {
        at += action.after;
        return { at, action };
    });
}

function pickWorker(cell: Cell, target: number): string {
    const ids = cell.listWorkerIds();
    return ids[target % ids.length] ?? "";
}
