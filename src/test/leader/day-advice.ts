/** The advice service of a random day and the nodes that call it for a leader, with their faults. */
import type { Clock, Millis } from "../../common/clock.js";
import type { AdviceCaller } from "../../process/dispatch/advice-dispatcher.js";
import { parseTaskName } from "../../process/jobs/job-spec.js";
import type { AdviceAnswer } from "../../process/ports/task-worker-port.js";
import type { AdvicePolicy } from "../../version/cluster-config.js";
import type { PausableClock } from "../fakes/pausable-clock.js";
import { hashToFraction } from "./day-work.js";

/** What happens to a node's requests to the advice service. */
export const AdviceFault = {
    none: "none",
    /** They fail immediately. */
    failing: "failing",
    /** They are never answered. */
    silent: "silent",
    /** They are answered after the caller's timeout. */
    late: "late",
    /** The service refuses them as overloaded. */
    busy: "busy",
} as const;
export type AdviceFault = (typeof AdviceFault)[keyof typeof AdviceFault];

/** What the service knows of a step. */
export interface StepAdvice {
    readonly policy: AdvicePolicy;
    /** Share of the workers on which the step may run. */
    readonly allowedShare: number;
}

interface NodeState {
    fault: AdviceFault;
    /** When the service will have answered all requests of this node. */
    freeAt: Millis;
}

const LATENCY_MS: Millis = 2;
const LATE_ANSWER_MS: Millis = 5_000;

/** A model of the advice service that answers one request at a time for each node. */
export class DayAdvice {
    private readonly nodes = new Map<string, NodeState>();

    /**
     * @param findStep - Finds a step's advice policy and allowed share.
     * @param isKnown - Returns whether the service currently knows a worker.
     */
    constructor(
        private readonly clock: Clock,
        private readonly findStep: (step: string) => StepAdvice | undefined,
        private readonly isKnown: (workerId: string) => boolean,
    ) {}

    /** Sets the fault of a node's requests from now on. */
    setFault(nodeName: string, fault: AdviceFault): void {
        this.getNode(nodeName).fault = fault;
    }

    /** Ends all faults. */
    heal(): void {
        this.nodes.forEach(node => node.fault = AdviceFault.none);
    }

    /** Builds a node's caller for one leader; answers are delivered by the leader's clock. */
    buildCaller(nodeName: string, leaderClock: PausableClock): AdviceCaller {
        return {
            nodeName,
            requestPermits: (step, workerIds, timeout) =>
                this.request(nodeName, leaderClock, step, workerIds, timeout),
        };
    }

    /** Returns whether a step may run on a worker; always the same for the same pair. */
    isAllowed(step: string, workerId: string): boolean {
        return hashToFraction(`${step}@${workerId}`) < (this.findStep(step)?.allowedShare ?? 0);
    }

    /** Returns whether a worker accepts a permit now. */
    isPermitted(task: string, workerId: string, permit: string | undefined): boolean {
        const ref = parseTaskName(task);
        const [step, worker, decidedAt] = permit?.split("|") ?? [];
        const advice = step === undefined ? undefined : this.findStep(step);
        return ref !== undefined && advice !== undefined && worker === workerId &&
            step === `${ref.jobId}.${ref.occurrence}.${ref.step}` &&
            this.clock.now() - Number(decidedAt) <= advice.policy.validMs;
    }

    private getNode(nodeName: string): NodeState {
        const known = this.nodes.get(nodeName);
        const node = known ?? { fault: AdviceFault.none, freeAt: 0 };
        this.nodes.set(nodeName, node);
        return node;
    }

    private request(
        nodeName: string,
        leaderClock: PausableClock,
        step: string,
        workerIds: readonly string[],
        timeout: Millis,
    ): Promise<AdviceAnswer> {
        return new Promise(resolve => {
            const timer = leaderClock.schedule(timeout, () => resolve({ kind: "failed", message: "silent" }));
            const answerAfter = (delay: Millis, build: () => AdviceAnswer): void => {
                this.clock.schedule(delay, () => {
                    const answer = build();
                    leaderClock.post(() => {
                        timer.cancel();
                        resolve(answer);
                    });
                });
            };
            const { fault } = this.getNode(nodeName);
            switch (fault) {
                case "failing":
                    return answerAfter(LATENCY_MS, () => ({ kind: "failed", message: "connection refused" }));
                case "busy":
                    return answerAfter(LATENCY_MS, () => ({ kind: "busy" }));
                case "silent":
                    return;
                case "late":
                case "none":
                    return answerAfter(this.computeDelay(nodeName, step, workerIds.length), () => ({
                        kind: "done",
                        permits: this.buildPermits(step, workerIds),
                    }));
            }
        });
    }

    private computeDelay(nodeName: string, step: string, workers: number): Millis {
        const node = this.getNode(nodeName);
        const now = this.clock.now();
        const { decideMs = 0, perWorkerMs = 0 } = this.findStep(step)?.policy ?? {};
        node.freeAt = Math.max(now, node.freeAt) + decideMs + perWorkerMs * workers;
        return node.freeAt - now + LATENCY_MS + (node.fault === AdviceFault.late ? LATE_ANSWER_MS : 0);
    }

    private buildPermits(
        step: string,
        workerIds: readonly string[],
    ): { workerId: string; token: string; }[] {
        return workerIds
            .filter(workerId => this.isKnown(workerId) && this.isAllowed(step, workerId))
            .map(workerId => ({ workerId, token: `${step}|${workerId}|${this.clock.now()}` }));
    }
}
