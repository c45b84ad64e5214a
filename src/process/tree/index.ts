/** The tree role: follows the settings tree in the store, provides it to other roles, and edits it. */
export { createTreeRole, type TableView, TreeRole, type TreeRoleOptions } from "./tree-role.js";
export { TREE_KEY } from "./tree-writer.js";
