/** Contract tests of the store port, run against the fake and against the HTTP adapter with its stand-in. */
import assert from "node:assert/strict";
import { after, describe, it } from "node:test";
import { sleep, systemClock } from "../../../common/clock.js";
import type { Clock } from "../../../common/clock.js";
import { createRandom } from "../../../common/random.js";
import { HttpStorePort } from "../../../process/platform/index.js";
import type { StoreAnswer, StorePort } from "../../../process/ports/index.js";
import { startStoreStandIn, StoreModel } from "../../../stand-ins/index.js";
import { CallPath } from "../../fakes/call-path.js";
import { FakeStorePort } from "../../fakes/fake-store-port.js";
import { PausableClock } from "../../fakes/pausable-clock.js";

interface Subject {
    readonly port: StorePort;
    readonly model: StoreModel;
    close(): Promise<void>;
}

const TIMEOUT_MS = 2_000;

const subjects: Record<string, () => Promise<Subject>> = {
    "fake": async () => {
        const clock: Clock = systemClock;
        const model = new StoreModel(clock);
        const path = new CallPath(clock, new PausableClock(clock), { latencyMs: 0, random: createRandom(1) });
        return { port: new FakeStorePort(model, path), model, close: () => Promise.resolve() };
    },
    "HTTP adapter": async () => {
        const running = await startStoreStandIn({ clock: systemClock });
        const port = new HttpStorePort({ url: running.url, clock: systemClock });
        return {
            port,
            model: running.model,
            close: async () => {
                await port.close();
                await running.close();
            },
        };
    },
};

interface ContractCase {
    readonly name: string;
    readonly run: (port: StorePort, model: StoreModel) => Promise<unknown>;
    readonly expected: unknown;
}

const cases: ContractCase[] = [
    {
        name: "reads an absent key",
        run: port => port.read("none", TIMEOUT_MS),
        expected: { kind: "done", value: undefined },
    },
    {
        name: "creates, reads and lists with odd characters in keys",
        run: async port => {
            await port.swap({ key: "a/b c?&é", value: 'v\n"é', expectedRevision: 0 }, TIMEOUT_MS);
            return [await port.read("a/b c?&é", TIMEOUT_MS), await port.list("a/b c", TIMEOUT_MS)];
        },
        expected: [
            { kind: "done", value: { key: "a/b c?&é", value: 'v\n"é', revision: 1 } },
            {
                kind: "done",
                value: { records: [{ key: "a/b c?&é", value: 'v\n"é', revision: 1 }], revision: 1 },
            },
        ],
    },
    {
        name: "returns the current record when a swap conflicts",
        run: async (port, model) => {
            model.putDirectly("k", "theirs");
            return port.swap({ key: "k", value: "mine", expectedRevision: 0 }, TIMEOUT_MS);
        },
        expected: {
            kind: "refused",
            reason: "conflict",
            current: { key: "k", value: "theirs", revision: 1 },
        },
    },
    {
        name: "refuses a swap that expects a record where there is none",
        run: port => port.swap({ key: "k", value: "mine", expectedRevision: 4 }, TIMEOUT_MS),
        expected: { kind: "refused", reason: "conflict", current: undefined },
    },
    {
        name: "deletes a record by a swap without a value",
        run: async (port, model) => {
            model.putDirectly("k", "x");
            return port.swap({ key: "k", value: undefined, expectedRevision: 1 }, TIMEOUT_MS);
        },
        expected: { kind: "done", value: 2 },
    },
    {
        name: "refuses a value over 1 MB",
        run: port => port.swap({ key: "k", value: "x".repeat(1_048_577), expectedRevision: 0 }, TIMEOUT_MS),
        expected: { kind: "refused", reason: "tooLarge", current: undefined },
    },
    {
        name: "applies a transaction when all its conditions hold",
        run: async (port, model) => {
            model.putDirectly("a", "1");
            const conditions = [{ key: "a", revision: 1 }, { key: "b", revision: 0 }];
            const writes = [{ key: "b", value: "2" }];
            await port.transact({ conditions, writes, removals: ["a"] }, TIMEOUT_MS);
            return port.list("", TIMEOUT_MS);
        },
        expected: {
            kind: "done",
            value: { records: [{ key: "b", value: "2", revision: 2 }], revision: 3 },
        },
    },
    {
        name: "applies nothing of a transaction when a condition fails, and returns the current record",
        run: async (port, model) => {
            model.putDirectly("a", "1");
            const conditions = [{ key: "a", revision: 7 }];
            return port.transact(
                { conditions, writes: [{ key: "b", value: "2" }], removals: [] },
                TIMEOUT_MS,
            );
        },
        expected: {
            kind: "refused",
            reason: "conflict",
            current: undefined,
            standing: [{ key: "a", value: "1", revision: 1 }],
        },
    },
    {
        name: "grants, renews and revokes leases",
        run: async port => {
            const lease = await port.grantLease(60_000, TIMEOUT_MS);
            assert(lease.kind === "done");
            const { value: leaseId } = lease;
            const written = await port.swap(
                { key: "k", value: "x", expectedRevision: 0, leaseId },
                TIMEOUT_MS,
            );
            const renewed = await port.renewLease(leaseId, TIMEOUT_MS);
            const revoked = await port.revokeLease(leaseId, TIMEOUT_MS);
            const again = await port.renewLease(leaseId, TIMEOUT_MS);
            const read = await port.read("k", TIMEOUT_MS);
            return [written, renewed, revoked, again, read].map(getSummary);
        },
        expected: ["done", "done", "done", "noLease", "done"],
    },
    {
        name: "answers a waiting poll with a change; a deletion has no value",
        run: async (port, model) => {
            model.putDirectly("p/a", "x");
            const waiting = port.poll("p/", 1, TIMEOUT_MS);
            await sleep(systemClock, 20);
            model.putDirectly("p/a", undefined);
            return waiting;
        },
        expected: {
            kind: "done",
            value: { events: [{ key: "p/a", value: undefined, revision: 2 }], revision: 2 },
        },
    },
    {
        name: "answers a poll without changes after its wait",
        run: port => port.poll("p/", 0, 50),
        expected: { kind: "done", value: { events: [], revision: 0 } },
    },
    {
        name: "refuses a poll from a revision before the retained history",
        run: (port, model) => {
            model.putDirectly("p/a", "x");
            model.truncateHistory();
            return port.poll("p/", 0, 50);
        },
        expected: { kind: "refused", reason: "compacted", current: undefined },
    },
];

function getSummary(answer: StoreAnswer<unknown>): string {
    return answer.kind === "refused" ? answer.reason : answer.kind;
}

for (const [name, create] of Object.entries(subjects)) {
    describe(`store contract of the ${name}`, () => {
        const opened: Subject[] = [];
        after(async () => {
            await Promise.all(opened.map(subject => subject.close()));
        });
        for (const { name: caseName, run, expected } of cases) {
            it(caseName, async () => {
                const subject = await create();
                opened.push(subject);
                assert.deepEqual(await run(subject.port, subject.model), expected);
            });
        }
    });
}
