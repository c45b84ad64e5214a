/**
 * Table of policies, named by branches of the settings tree. docs/ADDING-A-POLICY.md shows how to add one.
 */
import type { Policy } from "../policy.js";
import { batchPolicy } from "./batch.js";
import { gangPolicy } from "./gang.js";
import { servicePolicy } from "./service.js";
import { shortPolicy } from "./short.js";

/** Policies by name. The settings tree allows exactly these names. */
export const POLICIES = {
    service: servicePolicy,
    batch: batchPolicy,
    gang: gangPolicy,
    short: shortPolicy,
} satisfies Readonly<Record<string, Policy>>;
export type PolicyName = keyof typeof POLICIES;
