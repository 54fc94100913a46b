/**
 * The table of hosts: which processes are live, suspected or leaving.
 */
package org.wigeontally.membership;
