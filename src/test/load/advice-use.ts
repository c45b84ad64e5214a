/** Records how a played load uses the advice service, and which answers lead to a start. */
import type { Clock, Millis } from "../../common/clock.js";
import type { AdviceCaller } from "../../process/dispatch/advice-dispatcher.js";

/** A request that a node has sent. */
export interface UsedRequest {
    readonly step: string;
    readonly nodeName: string;
    readonly workers: number;
    /** Since the beginning of the load. */
    readonly sentAt: Millis;
    answeredAt: Millis | undefined;
    /** Number of workers that the answer allows. */
    allowed: number;
    /** Number of runs that started with its permits. */
    starts: number;
}

/** The requests of a played load. */
export class AdviceUse {
    readonly requests: UsedRequest[] = [];
    private readonly byToken = new Map<string, UsedRequest>();
    private startTime: Millis = 0;

    constructor(private readonly clock: Clock) {}

    /** Sets the beginning of the load, from which times count. */
    setStart(startTime: Millis): void {
        this.startTime = startTime;
    }

    /** Returns a caller that records the requests which it passes on to another. */
    observeCaller(caller: AdviceCaller): AdviceCaller {
        const { nodeName } = caller;
        return {
            nodeName,
            requestPermits: async (step, workerIds, timeout) => {
                const request: UsedRequest = {
                    step,
                    nodeName,
                    workers: workerIds.length,
                    sentAt: this.clock.now() - this.startTime,
                    answeredAt: undefined,
                    allowed: 0,
                    starts: 0,
                };
                this.requests.push(request);
                const answer = await caller.requestPermits(step, workerIds, timeout);
                request.answeredAt = this.clock.now() - this.startTime;
                if (answer.kind === "done") {
                    request.allowed = answer.permits.length;
                    answer.permits.forEach(({ token }) => this.byToken.set(token, request));
                }
                return answer;
            },
        };
    }

    /** Records that a run has started with a permit. */
    observeStart(permit: string | undefined): void {
        const request = permit === undefined ? undefined : this.byToken.get(permit);
        if (request !== undefined) {
            request.starts += 1;
        }
    }
}
