/**
 * Model checking of the core protocol with Alloy.
 */
package org.wigeontally.model;
