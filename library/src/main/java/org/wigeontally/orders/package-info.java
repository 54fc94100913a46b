/**
 * Orders to model engines (load a version, change role) and how an old agent's orders are
 * kept from taking effect.
 */
package org.wigeontally.orders;
