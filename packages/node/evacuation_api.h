#ifndef GV_NODE_EVACUATION_API_H
#define GV_NODE_EVACUATION_API_H

#include "api.h"
#include "node.h"

/* The product's own calls about evacuations, beside those of the adapter. */

bool
evacuation_api_is_call(const struct front_call *call);

/* Returns NULL after filling in *response if the call is not valid. */
Node__Request *
evacuation_api_decode(const struct front_call *call,
                      struct front_response *response);
void
evacuation_api_encode(const Node__Request *request, const Node__Reply *reply,
                      struct front_response *response);

#endif
