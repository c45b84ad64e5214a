/** For how long a node grants access without hearing from the store, and that no revoked key is served for longer. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Clock, Millis } from "../../common/clock.js";
import { createRandom } from "../../common/random.js";
import type { Random } from "../../common/random.js";
import { ConfigConfirmation } from "../../process/accounts/config-confirmation.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { createFakeLog, listCodes } from "../fakes/fake-telemetry.js";

const REVOCATION_MS: Millis = 5_000;

/** A clock that can lose time, as the monotonic clock of a suspended VM does, and whose wall clock can be set. */
class VmClock implements Clock {
    suspendedMs: Millis = 0;
    wallOffsetMs: Millis = 0;

    constructor(private readonly base: FakeClock) {}

    now(): Millis {
        return this.base.now() - this.suspendedMs;
    }

    wallNow(): Millis {
        return this.base.wallNow() + this.wallOffsetMs;
    }

    schedule(delay: Millis, callback: () => void): ReturnType<Clock["schedule"]> {
        return this.base.schedule(delay, callback);
    }
}

/** A node's view of one key that the operator revokes in the store. */
class RevocationModel {
    readonly clock = new FakeClock();
    readonly vmClock = new VmClock(this.clock);
    readonly log = createFakeLog(true);
    /** Instant at which the store acknowledged the revocation; infinite before. */
    revokedAt: Millis = Infinity;
    /** Whether the store answers calls. */
    isAnswering = true;
    requestMs: Millis = 2;
    answerMs: Millis = 2;
    isKeyKnown = true;
    readonly confirmation = new ConfigConfirmation({
        clock: this.vmClock,
        log: this.log,
        revocationMs: REVOCATION_MS,
        hasAccounts: () => true,
        confirm: timeout => this.confirm(timeout),
    });

    /** Whether a request that is checked now would be served. */
    isServed(): boolean {
        return this.confirmation.isValid() && this.isKeyKnown;
    }

    private confirm(timeout: Millis): Promise<boolean> {
        const { requestMs, answerMs, clock } = this;
        return new Promise(resolve => {
            clock.schedule(timeout, () => resolve(false));
            if (!this.isAnswering) {
                return;
            }
            clock.schedule(requestMs, () => {
                const isRevoked = this.revokedAt <= clock.now();
                clock.schedule(answerMs, () => {
                    this.isKeyKnown &&= !isRevoked;
                    resolve(true);
                });
            });
        });
    }
}

describe("a node that confirms its configuration", () => {
    it("serves while the store answers", async () => {
        const model = new RevocationModel();
        for (let second = 0; second < 20; second++) {
            await model.clock.step(1_000);
            assert.ok(model.isServed());
        }
    });

    it("serves nobody before the first answer", () => {
        assert.equal(new RevocationModel().isServed(), false);
    });

    it("stops and resumes serving as the store goes and comes back, and logs both", async () => {
        const model = new RevocationModel();
        await model.clock.step(1_000);
        model.isAnswering = false;
        await model.clock.step(3_500);
        assert.ok(model.isServed());
        await model.clock.step(2_000);
        assert.equal(model.isServed(), false);
        model.isAnswering = true;
        await model.clock.step(600);
        assert.ok(model.isServed());
        assert.deepEqual(listCodes(model.log), ["CR1650"]);
        assert.ok(model.log.lines.some(({ event }) => event === "accessConfirmed"));
    });

    it("does not count an answer from its arrival", async () => {
        // Guards against an answer that was made before a revocation and arrives late.
        const model = new RevocationModel();
        model.answerMs = 1_400;
        await model.clock.step(500);
        model.isAnswering = false;
        await model.clock.step(10);
        model.revokedAt = model.clock.now();
        await model.clock.step(REVOCATION_MS + 1);
        assert.equal(model.isServed(), false);
    });

    it("counts time for which the VM was suspended", async () => {
        // Guards against a monotonic clock that stands still while a key is revoked.
        const model = new RevocationModel();
        await model.clock.step(1_000);
        model.isAnswering = false;
        model.vmClock.suspendedMs = 10_000;
        await model.clock.step(10_000);
        assert.equal(model.isServed(), false);
    });

    it("recovers at once when its wall clock is set forward", async () => {
        const model = new RevocationModel();
        await model.clock.step(1_100);
        model.vmClock.wallOffsetMs = 60_000;
        assert.equal(model.isServed(), false);
        await model.clock.step(10);
        assert.ok(model.isServed());
    });

    it("is not limited where revocation is not strict", () => {
        const clock = new FakeClock();
        const confirmation = new ConfigConfirmation({
            clock,
            log: createFakeLog(),
            revocationMs: undefined,
            hasAccounts: () => true,
            confirm: () => Promise.resolve(false),
        });
        assert.ok(confirmation.isValid());
        confirmation.close();
    });
});

const SEEDS = 60;
const EVENTS = 80;

/** Changes one condition of the model at random. */
function setRandomCondition(model: RevocationModel, random: Random): void {
    const { vmClock } = model;
    const changes: readonly (() => void)[] = [
        () => model.isAnswering = false,
        () => model.isAnswering = true,
        () => model.answerMs = random.pickInt(1_400),
        () => model.requestMs = random.pickInt(1_400),
        () => Object.assign(model, { requestMs: 2, answerMs: 2 }),
        () => vmClock.suspendedMs += random.pickInt(9_000),
        () => vmClock.wallOffsetMs += random.pickInt(9_000),
        () => model.revokedAt = Math.min(model.revokedAt, model.clock.now()),
    ];
    changes[random.pickInt(changes.length)]?.();
}

describe("random outages, delays and suspensions", () => {
    for (let seed = 1; seed <= SEEDS; seed++) {
        it(`seed ${seed}: no request that was sent too long after the revocation is served`, async () => {
            const model = new RevocationModel();
            const random = createRandom(seed);
            for (let event = 0; event < EVENTS; event++) {
                setRandomCondition(model, random);
                await model.clock.step(random.pickInt(1_200));
                const isLate = model.clock.now() > model.revokedAt + REVOCATION_MS;
                assert.ok(!isLate || !model.isServed(), `served at ${model.clock.now()}`);
            }
            model.confirmation.close();
        });
    }
});
