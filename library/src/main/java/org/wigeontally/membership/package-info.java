/**
 * The membership table: which hosts are live, suspected or leaving.
 */
package org.wigeontally.membership;
