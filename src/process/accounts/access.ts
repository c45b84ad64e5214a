/** Decides whether a request may use a queue, from the key that it carries. */
import type { AccountConfig, ClusterConfig, QueueConfig } from "../../version/cluster-config.js";
import type { Credential } from "./credential.js";

/** Whether a request may use a queue. */
export type Access =
    /** `account` is undefined if the request is anonymous or the configuration has no client accounts. */
    | { readonly kind: "granted"; readonly account: string | undefined; }
    | { readonly kind: "denied"; readonly reason: AccessDenial; };

/** Why a request was denied. */
export const AccessDenial = {
    /** It carries no key, and its queue is not open to anonymous requests. */
    noKey: "noKey",
    /** No client account has its key. */
    unknownKey: "unknownKey",
} as const;
export type AccessDenial = (typeof AccessDenial)[keyof typeof AccessDenial];

const accountsByDigest = new WeakMap<ClusterConfig, ReadonlyMap<string, AccountConfig>>();

/**
 * Decides on a request. A key that no account has is denied on every queue, since its holder expects to act as an
 * account.
 */
export function decideAccess(config: ClusterConfig, queue: QueueConfig, credential: Credential): Access {
    if (config.accounts === undefined) {
        return { kind: "granted", account: undefined };
    }
    if (credential === undefined) {
        return queue.admitsAnonymous === true ?
            { kind: "granted", account: undefined } :
            { kind: "denied", reason: AccessDenial.noKey };
    }
    const account = buildIndex(config).get(credential);
    return account === undefined ?
        { kind: "denied", reason: AccessDenial.unknownKey } :
        { kind: "granted", account: account.name };
}

/** Tells whether an account may see and cancel a job. Jobs of anonymous requests are open to all. */
export function mayAccessJob(account: string | undefined, jobAccount: string | undefined): boolean {
    return jobAccount === undefined || jobAccount === account;
}

/** Finds an account by its name; undefined for anonymous requests and removed accounts. */
export function findAccount(config: ClusterConfig, name: string | undefined): AccountConfig | undefined {
    return name === undefined ? undefined : config.accounts?.find(account => account.name === name);
}

function buildIndex(config: ClusterConfig): ReadonlyMap<string, AccountConfig> {
    let index = accountsByDigest.get(config);
    if (index === undefined) {
        const entries = config.accounts?.flatMap(account =>
            account.keyDigests.map(digest => [digest, account] as const)
        );
        index = new Map(entries);
        accountsByDigest.set(config, index);
    }
    return index;
}
