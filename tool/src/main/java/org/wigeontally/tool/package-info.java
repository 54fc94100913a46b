/**
 * The command line: starts the processes and gives operators' orders to entry hosts.
 */
package org.wigeontally.tool;
