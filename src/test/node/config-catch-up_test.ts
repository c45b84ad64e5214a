/** Number of copies of a configuration that nodes send each other. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { CatchUpDelay, ConfigCatchUp } from "../../process/node/config-catch-up.js";
import { ConfigHolder } from "../../process/node/config-holder.js";
import type { LinkPeer } from "../../process/node/link-peer.js";
import type { NodeNotification } from "../../process/node/messages.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { createFakeLog } from "../fakes/fake-telemetry.js";
import { makeConfig } from "./cluster-fixture.js";

const FOLLOWERS = 17;
const BEAT_MS: Millis = 450;

interface ConfigNode {
    readonly catchUp: ConfigCatchUp;
    readonly config: ConfigHolder;
}

function makeConfigNode(clock: FakeClock, version: number): ConfigNode {
    const config = new ConfigHolder(createFakeLog());
    config.accept(makeConfig(version), "store");
    return { catchUp: new ConfigCatchUp({ clock, config }), config };
}

/** Makes the other end of a link, which handles what is sent to it. */
function makePeer(handle: (note: NodeNotification) => void): LinkPeer {
    return { link: { notify: handle }, status: undefined } as unknown as LinkPeer;
}

interface Case {
    readonly name: string;
    /** When the leader's own watch delivers the new version; never by default. */
    readonly watchMs?: Millis;
    /** Time for a copy to reach the leader. */
    readonly copyMs: Millis;
    readonly copies: number;
}

const CASES: readonly Case[] = [
    { name: "none if the leader's watch is slightly late", watchMs: 200, copyMs: 800, copies: 0 },
    { name: "one if its watch delivers nothing", copyMs: 800, copies: 1 },
    { name: "a second one only after a while if the first is slow", copyMs: 2_500, copies: 2 },
];

describe("followers that have a newer configuration than their leader", () => {
    for (const { name, watchMs, copyMs, copies } of CASES) {
        it(`send it few copies: ${name}`, async () => {
            const clock = new FakeClock();
            const leader = makeConfigNode(clock, 1);
            const followers = Array.from({ length: FOLLOWERS }, () => makeConfigNode(clock, 2));
            let sent = 0;
            const leaderPeer = makePeer(note => {
                if (note.kind === "config") {
                    sent += 1;
                    clock.schedule(copyMs, () => leader.config.accept(note.config, "follower"));
                }
            });
            if (watchMs !== undefined) {
                clock.schedule(watchMs, () => leader.config.accept(makeConfig(2), "store"));
            }
            for (let at = 0; at < 6_000; at += BEAT_MS) {
                for (const follower of followers) {
                    const peer = makePeer(note => {
                        if (note.kind === "configWanted") {
                            follower.catchUp.sendNewer(leaderPeer, note.version);
                        }
                    });
                    const { version } = follower.config.get();
                    leader.catchUp.observeVersion(peer, version, CatchUpDelay.leader);
                }
                await clock.step(BEAT_MS);
            }
            assert.equal(sent, copies);
            assert.equal(leader.config.get().version, 2);
        });
    }

    it("send it unrequested when a request needs it, and not again at once", async () => {
        const clock = new FakeClock();
        const { catchUp } = makeConfigNode(clock, 2);
        const sent: string[] = [];
        const peer = makePeer(({ kind }) => sent.push(kind));
        for (let at = 0; at < 1_000; at += 40) {
            assert.ok(catchUp.offerNewer(peer, 1));
            await clock.step(40);
        }
        assert.deepEqual(sent, ["config"]);
        assert.ok(!catchUp.offerNewer(peer, 2));
    });
});
