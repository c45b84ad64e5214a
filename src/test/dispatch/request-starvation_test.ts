/**
 * Tests that no accepted job's request to the advice service waits without bound while its queue has less than its
 * part of the nodes' time.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { AdviceDispatcher } from "../../process/dispatch/advice-dispatcher.js";
import type { AdviceRequest } from "../../process/dispatch/request-shares.js";
import type { AdvicePolicy } from "../../version/cluster-config.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { createFakeLog } from "../fakes/fake-telemetry.js";
import { buildRequest } from "./request-queue.js";

const POLICY: AdvicePolicy = { decideMs: 400, perWorkerMs: 0, validMs: 2_500 };
const NODES = 2;
const TICK_MS: Millis = 50;
/** A step has been seen to stand still if it has waited for this long. */
const BOUND_MS: Millis = 30_000;
/** Time between two requests of the less urgent queue: with these it wants no more than its part. */
const NEW_EVERY_MS: Millis = 500;
/** Requests of the more urgent queue that always wait. */
const URGENT_BACKLOG = 6;

interface Wanted {
    readonly step: string;
    readonly priority: number;
    readonly since: Millis;
    /** When it can no longer be in time. */
    readonly lateAt: Millis;
}

/** Nodes that a more urgent queue keeps busy, beside a queue whose requests are replaced as by a leader's passes. */
class BusyNodes {
    readonly clock = new FakeClock();
    readonly sent: { readonly step: string; readonly at: Millis; }[] = [];
    private readonly dispatcher = new AdviceDispatcher(this.clock, createFakeLog());
    private readonly wanted = new Map<string, Wanted>();
    private urgentCount = 0;
    private newCount = 0;

    constructor() {
        for (let node = 0; node < NODES; node++) {
            let freeAt: Millis = 0;
            this.dispatcher.addCaller({
                nodeName: `node-${node}`,
                requestPermits: () => {
                    const now = this.clock.now();
                    freeAt = Math.max(freeAt, now) + POLICY.decideMs;
                    return new Promise(resolve => {
                        this.clock.schedule(freeAt - now, () => resolve({ kind: "done", permits: [] }));
                    });
                },
            });
        }
    }

    addWanted(step: string, priority: number, slackMs: Millis): void {
        const since = this.clock.now();
        this.wanted.set(step, { step, priority, since, lateAt: since + slackMs });
    }

    /** @param slacksMs - Slack of the new requests in turn. */
    async play(durationMs: Millis, slacksMs: readonly Millis[], newEveryMs = NEW_EVERY_MS): Promise<void> {
        const endAt = this.clock.now() + durationMs;
        while (this.clock.now() < endAt) {
            while (
                [...this.wanted.values()].filter(({ priority }) => priority === 0).length < URGENT_BACKLOG
            ) {
                this.addWanted(`urgent-${this.urgentCount++}`, 0, BOUND_MS * 2);
            }
            if (this.clock.now() % newEveryMs === 0) {
                const number = this.newCount++;
                this.addWanted(`new-${number}`, 1, slacksMs[number % slacksMs.length] ?? 0);
            }
            this.dispatcher.replaceWaiting([...this.wanted.values()].map(wanted => this.build(wanted)));
            await this.clock.step(TICK_MS);
        }
    }

    private build({ step, priority, since, lateAt }: Wanted): AdviceRequest {
        return buildRequest({
            step,
            workerIds: ["w1"],
            policy: POLICY,
            priority,
            since,
            lateness: this.clock.now() <= lateAt ? 0 : 1,
            dueAt: lateAt,
            isWanted: () => this.wanted.has(step),
            handleSent: () => {
                this.wanted.delete(step);
                this.sent.push({ step, at: this.clock.now() });
            },
        });
    }
}

describe("a queue behind one that keeps all nodes busy", () => {
    for (
        const { name, slacksMs } of [
            { name: "jobs with 3 s of slack", slacksMs: [3_000] },
            {
                name: "jobs with 0.8 s of slack, less than the wait from which a queue gets its share",
                slacksMs: [800],
            },
            { name: "first steps with 6 s of slack and last steps with 0.8 s left", slacksMs: [6_000, 800] },
        ]
    ) {
        it(`gets its part of the nodes' time: ${name}`, async context => {
            const nodes = new BusyNodes();
            await nodes.play(BOUND_MS, slacksMs);
            const others = nodes.sent.filter(({ step }) => step.startsWith("new-"));
            context.diagnostic(`${others.length} of ${nodes.sent.length} requests`);
            // Both queues want more than the nodes have, so each should get about half.
            assert.ok(
                others.length >= nodes.sent.length / 4,
                `${others.length} of ${nodes.sent.length} requests`,
            );
        });
    }

    for (
        const { name, newEveryMs } of [
            { name: "its queue wants no more than its part", newEveryMs: NEW_EVERY_MS },
            { name: "its queue wants more than its part", newEveryMs: NEW_EVERY_MS / 2 },
        ]
    ) {
        // A lasting task may not stand still for longer at any time of the day. Its objective has long passed when it
        // has to start again.
        it(`sends the request of a lasting task that has ended within 6 s: ${name}`, async context => {
            const nodes = new BusyNodes();
            await nodes.play(2_000, [6_000], newEveryMs);
            nodes.addWanted("lasting", 1, -60_000);
            const since = nodes.clock.now();
            await nodes.play(BOUND_MS, [6_000], newEveryMs);
            const sent = nodes.sent.find(({ step }) => step === "lasting");
            const waitMs = (sent?.at ?? Infinity) - since;
            context.diagnostic(`sent after ${waitMs} ms`);
            assert.ok(waitMs <= 6_000, `sent after ${waitMs} ms`);
        });
    }
});
