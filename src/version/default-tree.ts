/** The settings tree of a new cell, in force until the first edit. */
import { TREE_FORMAT, type TreeDocument } from "./tree-schema.js";

/** Has no branches and no teams, so every request is refused until operators add some. */
export const DEFAULT_TREE: TreeDocument = { format: TREE_FORMAT, version: 0, root: {}, recentEdits: [] };
