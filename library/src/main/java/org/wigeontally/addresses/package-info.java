/** Selection of the entry addresses that are returned to callers. */
package org.wigeontally.addresses;
