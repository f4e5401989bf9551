// Package quota holds the requests of each tenant, over the whole fleet, within its limit.
package quota
