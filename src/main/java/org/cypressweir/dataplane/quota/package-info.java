/** What tenants may ask of the whole fleet, parted by what each pilot is asked. */
package org.cypressweir.dataplane.quota;
