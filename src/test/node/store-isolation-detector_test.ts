/** When a follower that can reach the store replaces a leader that cannot. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { createRandom } from "../../common/random.js";
import type { LeaderLink } from "../../process/node/leader-dialer.js";
import type { NodeStatus } from "../../process/node/messages.js";
import { StoreIsolationDetector } from "../../process/node/store-isolation-detector.js";
import { StoreModel } from "../../stand-ins/index.js";
import { CallPath } from "../fakes/call-path.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { FakeStorePort } from "../fakes/fake-store-port.js";
import { PausableClock } from "../fakes/pausable-clock.js";

interface Case {
    readonly name: string;
    /** How long the leader has had no answer from the store. */
    readonly silenceMs: Millis;
    /** How long ago this follower's last read failed; undefined if none did. */
    readonly ownFailureAgoMs: Millis | undefined;
    readonly isSlow: boolean;
    /** How late the leader's timers are. */
    readonly latenessMs?: Millis;
    readonly expected: boolean;
}

const READ_LIMIT_MS = 2_000;
const CASES: readonly Case[] = [
    {
        name: "replaces a leader that the store refuses, at once",
        silenceMs: 450,
        ownFailureAgoMs: undefined,
        isSlow: false,
        expected: true,
    },
    {
        name: "keeps a leader that the store answers",
        silenceMs: 0,
        ownFailureAgoMs: undefined,
        isSlow: false,
        expected: false,
    },
    {
        name: "keeps a leader while the store is slow for this node too",
        silenceMs: 450,
        ownFailureAgoMs: undefined,
        isSlow: true,
        expected: false,
    },
    {
        name: "keeps a leader when the store has only just recovered for this node",
        silenceMs: 4_200,
        ownFailureAgoMs: 300,
        isSlow: false,
        expected: false,
    },
    {
        name: "replaces a leader without answers long after the store recovered for this node",
        silenceMs: 5_200,
        ownFailureAgoMs: 900,
        isSlow: false,
        expected: true,
    },
    {
        name: "keeps a leader whose processor is saturated",
        silenceMs: 900,
        ownFailureAgoMs: undefined,
        isSlow: false,
        latenessMs: 400,
        expected: false,
    },
];

function buildLink(storeSilenceMs: Millis, latenessMs: Millis): LeaderLink {
    const status: NodeStatus = {
        kind: "status",
        nodeName: "leader",
        address: "",
        leadsEpoch: 1,
        isLoading: false,
        leader: undefined,
        heardEpoch: 1,
        storeSilenceMs,
        latenessMs,
        configVersion: 1,
        cores: 1,
        isDraining: false,
    };
    return { status } as LeaderLink;
}

describe("a follower of a leader that the store does not answer", () => {
    for (const { name, silenceMs, ownFailureAgoMs, isSlow, latenessMs = 0, expected } of CASES) {
        it(name, async () => {
            const clock = new FakeClock();
            const path = new CallPath(clock, new PausableClock(clock), {
                latencyMs: 2,
                random: createRandom(1),
            });
            const detector = new StoreIsolationDetector({
                storePort: new FakeStorePort(new StoreModel(clock), path),
                clock,
            });
            const link = buildLink(silenceMs, latenessMs);
            if (ownFailureAgoMs !== undefined) {
                path.planNext({ kind: "refuseConnection" });
                assert.equal(await clock.wait(detector.shouldReplace(link), READ_LIMIT_MS), false);
                await clock.step(ownFailureAgoMs);
            }
            path.faults.slowMs = isSlow ? 200 : 0;
            assert.equal(await clock.wait(detector.shouldReplace(link), READ_LIMIT_MS), expected);
        });
    }
});
