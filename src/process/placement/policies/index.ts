/** The table of policies; a branch of the settings tree names one. docs/ADDING-A-POLICY.md shows how to add one. */
import type { Policy } from "../policy.js";
import { batchPolicy } from "./batch.js";
import { gangPolicy } from "./gang.js";
import { servicePolicy } from "./service.js";
import { shortPolicy } from "./short.js";

/** Names of the policies. */
export const PolicyName = {
    service: "service",
    batch: "batch",
    gang: "gang",
    short: "short",
} as const;
export type PolicyName = (typeof PolicyName)[keyof typeof PolicyName];

/** Handlers by name. */
export const POLICIES: Readonly<Record<PolicyName, Policy>> = {
    service: servicePolicy,
    batch: batchPolicy,
    gang: gangPolicy,
    short: shortPolicy,
};
