/**
 * The administration API on entry hosts.
 */
package org.wigeontally.administration;
