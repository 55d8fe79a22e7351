package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/primrosemount/primrosemount/core/route"
	"github.com/primrosemount/primrosemount/telemetry"
)

// placementPage serves telemetry.PathPlacement.
type placementPage struct {
	router *route.Router
	config *configuration
	logger *zap.Logger
}

// ServeHTTP implements http.Handler.
func (p *placementPage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	service := query.Get("service")
	if service == "" {
		http.Error(w, "the parameter service is missing; add service=NAME and operation=ROUTE", http.StatusBadRequest)
		return
	}
	request, err := placementRequest(query.Get)
	if err != nil {
		http.Error(w, err.Error()+"; write bytes as a number, target_latency and remaining like 250ms", http.StatusBadRequest)
		return
	}
	candidates, known := p.router.Candidates(time.Now(), service, 0, request)
	if !known {
		http.Error(w, "no target of the service is known to this node; check its name and the members", http.StatusNotFound)
		return
	}
	candidates.InForce = p.config.placesByCost()
	p.write(w, &candidates, query.Get("format") == "json")
}

func (p *placementPage) write(w http.ResponseWriter, candidates *route.Candidates, asJSON bool) {
	var err error
	if asJSON {
		w.Header().Set("Content-Type", "application/json")
		err = json.NewEncoder(w).Encode(candidates)
	} else {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		err = candidates.WriteText(w)
	}
	if err != nil {
		p.logger.Info("The page of a placement could not be written.", telemetry.ErrorField(err))
	}
}

// placementRequest returns the request that the parameters describe.
func placementRequest(parameter func(name string) string) (route.Request, error) {
	request := route.Request{Operation: parameter("operation")}
	var err error
	if text := parameter("bytes"); text != "" {
		if request.Bytes, err = strconv.Atoi(text); err != nil {
			return request, err
		}
	}
	if text := parameter("target_latency"); text != "" {
		if request.TargetLatency, err = time.ParseDuration(text); err != nil {
			return request, err
		}
	}
	if text := parameter("remaining"); text != "" {
		request.Remaining, err = time.ParseDuration(text)
	}
	return request, err
}
