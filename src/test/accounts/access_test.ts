/** Which requests may use a queue, and which jobs an account may see. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { NO_RESOURCES } from "../../common/resources.js";
import { decideAccess, mayAccessJob } from "../../process/accounts/access.js";
import { computeKeyDigest } from "../../process/accounts/credential.js";
import type { ClusterConfig } from "../../version/cluster-config.js";
import { QUEUE } from "../leader/leader-cell.js";
import { makeConfig } from "../node/cluster-fixture.js";

const OWNER = {
    name: "owner",
    keyDigests: [computeKeyDigest("k1"), computeKeyDigest("k2")],
    weight: 1,
    quota: NO_RESOURCES,
};
const CLOSED = makeConfig(1, { accounts: [OWNER] });
const OPEN_QUEUE = { ...QUEUE, admitsAnonymous: true };

describe("access to a queue", () => {
    const cases: readonly {
        readonly name: string;
        readonly config?: ClusterConfig;
        readonly isOpen?: boolean;
        readonly key?: string;
        readonly expected: unknown;
    }[] = [
        {
            name: "no accounts, no key",
            config: makeConfig(1),
            expected: { kind: "granted", account: undefined },
        },
        {
            name: "no accounts, any key",
            config: makeConfig(1),
            key: "k9",
            expected: { kind: "granted", account: undefined },
        },
        { name: "the first key of an account", key: "k1", expected: { kind: "granted", account: "owner" } },
        { name: "another key of an account", key: "k2", expected: { kind: "granted", account: "owner" } },
        { name: "an unknown key", key: "k9", expected: { kind: "denied", reason: "unknownKey" } },
        { name: "no key", expected: { kind: "denied", reason: "noKey" } },
        {
            name: "no key, on an open queue",
            isOpen: true,
            expected: { kind: "granted", account: undefined },
        },
        {
            name: "an unknown key, on an open queue",
            isOpen: true,
            key: "k9",
            expected: { kind: "denied", reason: "unknownKey" },
        },
        {
            name: "a key, on an open queue",
            isOpen: true,
            key: "k1",
            expected: { kind: "granted", account: "owner" },
        },
        {
            name: "the key of an account that lost all keys",
            config: makeConfig(1, { accounts: [{ ...OWNER, keyDigests: [] }] }),
            key: "k1",
            expected: { kind: "denied", reason: "unknownKey" },
        },
        {
            name: "an empty list of accounts",
            config: makeConfig(1, { accounts: [] }),
            expected: { kind: "denied", reason: "noKey" },
        },
    ];
    for (const { name, config = CLOSED, isOpen = false, key, expected } of cases) {
        it(`with ${name}`, () => {
            const queue = isOpen ? OPEN_QUEUE : QUEUE;
            assert.deepEqual(
                decideAccess(config, queue, key === undefined ? undefined : computeKeyDigest(key)),
                expected,
            );
        });
    }
});

describe("access to a job", () => {
    const cases = [
        { job: undefined, account: undefined, expected: true },
        { job: undefined, account: "a", expected: true },
        { job: "a", account: "a", expected: true },
        { job: "a", account: "b", expected: false },
        { job: "a", account: undefined, expected: false },
    ];
    for (const { job, account, expected } of cases) {
        it(`of ${job ?? "nobody"} by ${account ?? "nobody"}`, () => {
            assert.equal(mayAccessJob(account, job), expected);
        });
    }
});
