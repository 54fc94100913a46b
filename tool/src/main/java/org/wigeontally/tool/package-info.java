/**
 * Command line tool: starts the entry and agent processes and sends operators' changes to
 * the entry hosts.
 */
package org.wigeontally.tool;
