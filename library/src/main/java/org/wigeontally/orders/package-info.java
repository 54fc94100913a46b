/**
 * Orders to model engines (load a version, change the role), and the protection against
 * orders of an old agent that arrive late.
 */
package org.wigeontally.orders;
