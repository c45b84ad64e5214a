/** Checks the evidence of a run against the guarantees given to callers and operators. */
import type { Millis } from "../../common/clock.js";
import { addResources, isWithin, NO_RESOURCES } from "../../common/resources.js";
import type { JournalRun } from "../../stand-ins/index.js";
import type { Evidence, SentRequest, SubmittedJob } from "./evidence.js";

/** Names of the guarantees, in the order in which they are checked. */
export const GuaranteeName = {
    capacity: "capacity",
    onePlace: "onePlace",
    wholeAnswer: "wholeAnswer",
    trueNotRun: "trueNotRun",
    atMostOnce: "atMostOnce",
    leavingWorker: "leavingWorker",
    gracefulShutdown: "gracefulShutdown",
    settings: "settings",
} as const;
export type GuaranteeName = (typeof GuaranteeName)[keyof typeof GuaranteeName];

/** A guarantee that was violated, and how. */
export interface Violation {
    readonly guarantee: GuaranteeName;
    readonly message: string;
}

/** Time from the first visible signal that a worker leaves until it must get no new work. */
export const LEAVING_LIMIT_MS = 2_000;
/** Time from the acceptance of an edit until no entry may accept work under older settings. */
export const IN_FORCE_LIMIT_MS = 4_000;
/** Time after its deadline within which the answer to a request may still arrive. */
const ANSWER_GRACE_MS = 1_500;

const checks: Record<GuaranteeName, (evidence: Evidence) => string[]> = {
    capacity: checkCapacity,
    onePlace: checkOnePlace,
    wholeAnswer: checkWholeAnswer,
    trueNotRun: checkTrueNotRun,
    atMostOnce: checkAtMostOnce,
    leavingWorker: checkLeavingWorker,
    gracefulShutdown: checkGracefulShutdown,
    settings: checkSettings,
};

/**
 * Checks all guarantees.
 * @returns The violations; empty if every guarantee was kept.
 */
export function checkGuarantees(evidence: Evidence): Violation[] {
    return Object.values(GuaranteeName).flatMap(guarantee =>
        checks[guarantee](evidence).map(message => ({ guarantee, message }))
    );
}

/** Checks the use of each worker at every start; a run that ends at that instant no longer counts. */
function checkCapacity(evidence: Evidence): string[] {
    const messages: string[] = [];
    for (const [workerId, runs] of collectGroups(evidence.runs, run => run.workerId)) {
        const capacity = evidence.capacities.find(each => each.workerId === workerId);
        if (capacity === undefined) {
            messages.push(`worker ${workerId} ran something, but its capacity was never recorded`);
            continue;
        }
        for (const started of runs) {
            const concurrent = runs.filter(run => isRunningAt(run, started));
            const use = concurrent.reduce((sum, run) => addResources(sum, run.resources), NO_RESOURCES);
            const requests = concurrent.filter(run => run.kind === "service").length;
            if (!isWithin(use, capacity.capacity)) {
                messages.push(
                    `worker ${workerId} at ${started.startedAt}: ${
                        JSON.stringify(use)
                    } in use, over its capacity`,
                );
            }
            if (requests > capacity.slots) {
                messages.push(
                    `worker ${workerId} at ${started.startedAt}: ${requests} concurrent requests, over its slots`,
                );
            }
        }
    }
    return messages;
}

function checkOnePlace(evidence: Evidence): string[] {
    const messages: string[] = [];
    for (const [workId, runs] of collectGroups(evidence.runs, run => getWorkId(evidence, run))) {
        const sorted = [...runs].sort((left, right) => left.startedAt - right.startedAt);
        sorted.forEach((run, index) => {
            const other = sorted.slice(0, index).find(earlier =>
                (earlier.endedAt ?? evidence.endedAt + 1) > run.startedAt
            );
            if (other !== undefined) {
                messages.push(`${workId} runs on ${other.workerId} and ${run.workerId} at ${run.startedAt}`);
            }
        });
    }
    return messages;
}

function checkWholeAnswer(evidence: Evidence): string[] {
    return [
        ...evidence.requests.flatMap(request => checkAnswer(evidence, request)),
        ...evidence.jobs.flatMap(job => checkJobAnswers(evidence, job)),
    ];
}

function checkAnswer(evidence: Evidence, request: SentRequest): string[] {
    const { requestId, outcome, expected } = request;
    if (outcome === undefined) {
        const ended = request.deadline + ANSWER_GRACE_MS < evidence.endedAt;
        const hadOutage = hasOutage(
            evidence,
            request.memberId,
            request.sentAt,
            request.deadline + ANSWER_GRACE_MS,
        );
        return ended && !hadOutage ? [`request ${requestId} was never answered`] : [];
    }
    const messages: string[] = [];
    const answeredAt = request.answeredAt ?? evidence.endedAt;
    const late = answeredAt > request.deadline + ANSWER_GRACE_MS;
    if (late && !hasOutage(evidence, request.memberId, request.sentAt, answeredAt)) {
        messages.push(
            `request ${requestId} was answered ${answeredAt - request.deadline} ms after its deadline`,
        );
    }
    if (outcome.kind === "done" && Buffer.from(outcome.answer).toString() !== expected) {
        messages.push(
            `request ${requestId} got "${Buffer.from(outcome.answer).toString()}", not "${expected}"`,
        );
    }
    if (outcome.kind === "done" && !hasRun(evidence, request.workId, run => run.end === "answered")) {
        messages.push(`request ${requestId} was reported done, but no run of it ended with an answer`);
    }
    return messages;
}

function checkJobAnswers(evidence: Evidence, job: SubmittedJob): string[] {
    const { view, jobId = "without id" } = job;
    if (job.acceptedAt === undefined) {
        return [];
    }
    if (view?.state !== "ended") {
        return [`job ${jobId} was accepted and has not ended (${JSON.stringify(view?.counts)})`];
    }
    const messages: string[] = [];
    const sum = Object.values(view.counts).reduce((total, count) => total + count, 0);
    if (sum !== job.spec.tasks) {
        messages.push(`job ${jobId} has ${job.spec.tasks} tasks, but its counts sum up to ${sum}`);
    }
    for (const { index, outcome } of view.tasks) {
        if (outcome?.kind !== "done") {
            continue;
        }
        const answer = Buffer.from(outcome.answer).toString();
        if (answer !== job.expected) {
            messages.push(`task ${index} of job ${jobId} got "${answer}", not "${job.expected}"`);
        }
        if (!hasRun(evidence, getTaskId(jobId, index), run => run.end === "done")) {
            messages.push(`task ${index} of job ${jobId} was reported done, but no run of it ended as done`);
        }
    }
    return messages;
}

function checkTrueNotRun(evidence: Evidence): string[] {
    const messages: string[] = [];
    for (const [workId, requests] of collectGroups(evidence.requests, request => request.workId)) {
        const allNotRun = requests.every(request => isNotRun(request.outcome));
        if (allNotRun && hasRun(evidence, workId)) {
            messages.push(`request ${workId} was reported as not run, but it ran`);
        }
    }
    for (const job of evidence.jobs) {
        const { jobId } = job;
        if (jobId === undefined) {
            continue;
        }
        const refused = job.submits.every(reply => reply?.kind === "refused");
        if (refused && evidence.runs.some(run => getWorkId(evidence, run).startsWith(`${jobId}#`))) {
            messages.push(`job ${jobId} was refused, but it ran`);
        }
        for (const { index, outcome } of job.view?.tasks ?? []) {
            if (isNotRun(outcome) && hasRun(evidence, getTaskId(jobId, index))) {
                messages.push(`task ${index} of job ${jobId} was reported as not run, but it ran`);
            }
        }
    }
    return messages;
}

function checkAtMostOnce(evidence: Evidence): string[] {
    const mustRunOnce = new Map<string, boolean>();
    for (const request of evidence.requests) {
        mustRunOnce.set(request.workId, (mustRunOnce.get(request.workId) ?? false) || !request.repeatable);
    }
    const nonRepeatableJobIds = new Set(
        evidence.jobs.filter(job => !job.spec.repeatable).map(job => job.jobId),
    );
    const messages: string[] = [];
    for (const [workId, runs] of collectGroups(evidence.runs, run => getWorkId(evidence, run))) {
        const isOnce = mustRunOnce.get(workId) ?? nonRepeatableJobIds.has(workId.split("#")[0]);
        if (isOnce && runs.length > 1) {
            const places = runs.map(run => `${run.workerId} at ${run.startedAt}`).join(", ");
            messages.push(`${workId} must not be repeated and ran ${runs.length} times: ${places}`);
        }
    }
    return messages;
}

function checkLeavingWorker(evidence: Evidence): string[] {
    return evidence.leaving.flatMap(({ workerId, at, until }) =>
        evidence.runs
            .filter(run => run.workerId === workerId)
            .filter(run => run.startedAt > at + LEAVING_LIMIT_MS && run.startedAt < (until ?? Infinity))
            .map(run =>
                `worker ${workerId} is leaving since ${at} but got ${run.attempt} at ${run.startedAt}`
            )
    );
}

function checkGracefulShutdown(evidence: Evidence): string[] {
    return evidence.shutdowns.flatMap(({ memberId, at, undisturbed }) =>
        evidence.requests
            .filter(request => request.memberId === memberId && request.sentAt <= at)
            .filter(request => (request.answeredAt ?? Infinity) > at)
            .filter(request =>
                request.outcome === undefined ?
                    // A member that dies or freezes while it leaves cuts requests off by that fault, not by its
                    // shutdown.
                    !hasOutage(evidence, memberId, at, request.deadline + ANSWER_GRACE_MS) :
                    undisturbed && isCutOff(request)
            )
            .map(request => `request ${request.requestId} was cut off by the shutdown of ${memberId}`)
    );
}

function checkSettings(evidence: Evidence): string[] {
    const messages: string[] = [];
    for (const [memberId, samples] of collectGroups(evidence.samples, sample => sample.memberId)) {
        samples.slice(1).forEach((sample, index) => {
            const before = samples[index]?.version ?? 0;
            if (sample.version < before) {
                messages.push(`member ${memberId} went back from version ${before} to ${sample.version}`);
            }
        });
    }
    for (const { version, acceptedAt } of evidence.edits) {
        const late = evidence.samples.find(sample =>
            sample.acceptsWork && sample.version < version && sample.at > acceptedAt + IN_FORCE_LIMIT_MS
        );
        if (late !== undefined) {
            messages.push(
                `${late.memberId} accepts work under version ${late.version} at ${late.at}; ` +
                    `${version} was accepted at ${acceptedAt}`,
            );
        }
    }
    return messages;
}

/** Tells whether the outcome says that the work has not run. */
function isNotRun(outcome: SentRequest["outcome"]): boolean {
    return outcome?.kind === "notRun" || (outcome?.kind === "cancelled" && !outcome.started);
}

function isCutOff({ outcome }: SentRequest): boolean {
    return outcome?.kind === "mayHaveRun" ||
        (outcome?.kind === "notRun" && ["linkDown", "notOwner", "shuttingDown"].includes(outcome.reason));
}

function hasOutage(evidence: Evidence, memberId: string, from: Millis, to: Millis): boolean {
    return evidence.outages.some(outage =>
        outage.memberId === memberId && outage.at <= to && (outage.until ?? Infinity) >= from
    );
}

function hasRun(
    evidence: Evidence,
    workId: string,
    matches: (run: JournalRun) => boolean = () => true,
): boolean {
    return evidence.runs.some(run => getWorkId(evidence, run) === workId && matches(run));
}

function isRunningAt(run: JournalRun, started: JournalRun): boolean {
    return run === started ||
        (run.startedAt <= started.startedAt && (run.endedAt ?? Infinity) > started.startedAt);
}

/** Returns the id of the work that a run belongs to; all attempts of the same work have the same id. */
function getWorkId(evidence: Evidence, run: JournalRun): string {
    if (run.kind === "service") {
        return evidence.requests.find(request => request.requestId === run.attempt)?.workId ?? run.attempt;
    }
    const label = JSON.parse(run.label) as { readonly jobId?: string; readonly index?: number; };
    return getTaskId(label.jobId ?? run.attempt, label.index ?? 0);
}

function getTaskId(jobId: string, index: number): string {
    return `${jobId}#${index}`;
}

function collectGroups<Item>(items: readonly Item[], getKey: (item: Item) => string): Map<string, Item[]> {
    const groups = new Map<string, Item[]>();
    for (const item of items) {
        const key = getKey(item);
        const group = groups.get(key);
        if (group === undefined) {
            groups.set(key, [item]);
        }
        else {
            group.push(item);
        }
    }
    return groups;
}
