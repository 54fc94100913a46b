/**
 * Model checking of the claim and configuration protocols with Alloy.
 */
package org.wigeontally.model;
